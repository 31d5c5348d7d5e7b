package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
)

// Account answers a report of another VM on the requests of organisations. This VM keeps no
// accounts yet.
func (p *peerService) Account(context.Context, *connect.Request[gatherv1.AccountRequest]) (*connect.Response[gatherv1.AccountReply], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("peerService.Account"))
}
