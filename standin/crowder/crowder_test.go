package crowder

import "testing"

func TestBodiesShortOfTheirEnd(t *testing.T) { play(t, "bodies-short.txt") }

func TestWholeBodies(t *testing.T) { play(t, "bodies-whole.txt") }

func TestBodiesInPieces(t *testing.T) { play(t, "bodies-in-pieces.txt") }

func TestLargeChunks(t *testing.T) { play(t, "chunks-large.txt") }

func TestSmallChunks(t *testing.T) { play(t, "chunks-small.txt") }

func TestBodiesToShards(t *testing.T) { play(t, "bodies-to-shards.txt") }

func TestBodiesToAnotherVM(t *testing.T) { play(t, "bodies-to-another-vm.txt") }

func TestHeadersOfManyLines(t *testing.T) { play(t, "headers.txt") }

func TestHeadersShortOfTheirEnd(t *testing.T) { play(t, "headers-short.txt") }

func TestSilentConnections(t *testing.T) { play(t, "connections.txt") }

func TestRefusedBodiesShortOfTheirEnd(t *testing.T) { play(t, "unwanted-bodies.txt") }

func TestBodiesThatNeverEnd(t *testing.T) { play(t, "bodies-stalled.txt") }

func TestServeBodies(t *testing.T) { play(t, "serve-bodies.txt") }

func TestServeChunks(t *testing.T) { play(t, "serve-chunks.txt") }

func TestServeSilentConnections(t *testing.T) { play(t, "serve-connections.txt") }

func TestBodiesOfCallersThatReturn(t *testing.T) { play(t, "bodies-again.txt") }

func TestAnswersThatNobodyReads(t *testing.T) { play(t, "answers-unread.txt") }

func TestSingleRequestsAtTheLimits(t *testing.T) { play(t, "calm.txt") }

func TestRequestsToASlowLeaf(t *testing.T) { play(t, "requests-held.txt") }
