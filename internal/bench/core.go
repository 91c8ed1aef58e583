package bench

func coreCandidates() []Candidate { return nil }
