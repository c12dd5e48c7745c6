package directory

import "samphirepass"

// suspicionsChanged returns a channel that is closed once there are suspicions that a follower does not have.
func (s *Source) suspicionsChanged(req followRequest) <-chan struct{} {
	if s.opts.Quarantine == nil {
		return nil
	}
	return s.opts.Quarantine.Changed(s.knownSuspicions(req))
}

// knownSuspicions returns the version of the suspicions that a follower has of this process.
func (s *Source) knownSuspicions(req followRequest) uint64 {
	if req.Epoch != s.epoch {
		return 0
	}
	return req.SuspicionsVersion
}

// addSuspicions adds to a reply the suspicions that a follower does not have.
func (s *Source) addSuspicions(req followRequest, reply *followReply) {
	if s.opts.Quarantine != nil {
		reply.Suspicions, reply.SuspicionsVersion = s.opts.Quarantine.ChangesSince(s.knownSuspicions(req))
	}
}

// ReportSuspicion tells the sources what this entry has learned of a request that crashes leaves.
func (f *Follower) ReportSuspicion(suspicion samphirepass.Suspicion) {
	f.report(report{suspicion: &suspicion, heardAt: f.opts.Clock.Now()})
}
