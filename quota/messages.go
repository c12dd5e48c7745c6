package quota

import "samphirepass"

const kindIssue = "issue-tokens"

// issueRequest asks an issuer for tokens.
type issueRequest struct {
	Key  samphirepass.LimitKey
	Want int
}

// issueReply is the answer to an issueRequest.
type issueReply struct {
	// Issues is false if the process issues no tokens now.
	Issues bool
	// Known is false if it does not know the limit.
	Known bool
	Issue Issue
}
