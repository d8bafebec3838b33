package scale

// minShare is the smallest share of its requests that an engine with a limit is assumed to
// take.
const minShare = 0.5

// setShares sets the share of its requests that each engine takes: less than 1 if it has
// named a limit below what arrives for its models. The requests for a model are assumed to be
// divided evenly among its copies.
func setShares(in Input) {
	copies := make(map[string]int)
	for _, t := range in.Targets {
		for name := range t.Copies {
			copies[name]++
		}
	}
	for _, t := range in.Targets {
		t.share = 1
		if t.Limit <= 0 {
			continue
		}
		requests := 0.0
		for name := range t.Copies {
			requests += in.Demand[name].Requests / float64(copies[name])
		}
		if requests > t.Limit {
			t.share = max(t.Limit/requests, minShare)
		}
	}
}
