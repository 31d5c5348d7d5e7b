package searcher

import "fmt"

func describe(action Action) string {
	switch action := action.(type) {
	case Send:
		kind := "send"
		if action.Extra {
			kind = "send extra"
		}
		return fmt.Sprintf("%s %d: part %d to %s, %d ms", kind, action.Call, action.Part, action.Leaf.ID(), action.TimeLeft)
	case Prepare:
		return fmt.Sprintf("prepare %s", action.Leaf.ID())
	case Suspected:
		return "suspected"
	case LeafEnded:
		alone := ""
		if action.Alone {
			alone = ", called alone"
		}
		return "leaf ended: " + action.Leaf.ID() + alone
	case Cancel:
		return fmt.Sprintf("cancel %d", action.Call)
	case Delegate:
		kind := "delegate"
		if action.Repeated {
			kind = "delegate extra"
		}
		return fmt.Sprintf("%s %d: parts %v to %s, target %d, deadline %d, attempts %d",
			kind, action.Share, action.Parts, action.Member.VM().Name(), action.Target, action.Deadline, action.Attempts)
	case Recall:
		return fmt.Sprintf("recall %d, timed out %v", action.Share, action.TimedOut)
	case Flush:
		return fmt.Sprintf("flush %v", action.Arrived)
	case Finish:
		outcome := action.Outcome
		if outcome.Unplaced() {
			return fmt.Sprintf("finish %s: not begun, permanent %v, misses %v", outcome.Cause(), outcome.Permanent(), outcome.Misses())
		}
		if outcome.RetryAfter() > 0 {
			return fmt.Sprintf("finish %s: may have run %v, retry after %d ms", outcome.Cause(), outcome.MayHaveRun(), outcome.RetryAfter())
		}
		uncalled := ""
		if list := outcome.Uncalled(); len(list) > 0 {
			uncalled = fmt.Sprintf(", uncalled %v", list)
		}
		return fmt.Sprintf("finish %s: missing %d, may have run %v, failure %v, misses %v%s",
			outcome.Cause(), outcome.Missing(), outcome.MayHaveRun(), outcome.Failure(), outcome.Misses(), uncalled)
	}
	return "unknown action"
}
