package operatorapi

import "time"

// ExplainRequest requests where a request of a caller would be sent now. The choice does not depend on its method.
type ExplainRequest struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method,omitempty"`
	// Key is the key of a customer. It is absent for a request without one, and in no answer.
	Key *string `json:"key,omitempty"`
}

// ExplainResponse is where a request would be sent now, and why. Times in milliseconds are fractions where needed.
type ExplainResponse struct {
	VM     string    `json:"vm"`
	At     time.Time `json:"at"`
	Host   string    `json:"host"`
	Path   string    `json:"path"`
	Method string    `json:"method"`
	// TableVersion is the version of the route table, or 0 if the VM has none.
	TableVersion        uint64   `json:"table_version"`
	EvacuationsRevision uint64   `json:"evacuations_revision"`
	EvacuatedZones      []string `json:"evacuated_zones"`
	// Choice is the setting [forward] choice.
	Choice string `json:"choice"`
	// Refusal is set if the request would be refused whatever service the split picks.
	Refusal  *ExplainedRefusal  `json:"refusal,omitempty"`
	Route    *ExplainedRoute    `json:"route,omitempty"`
	Customer *ExplainedCustomer `json:"customer,omitempty"`
	Services []ExplainedService `json:"services"`
}

// ExplainedRefusal is the refusal that a caller would get.
type ExplainedRefusal struct {
	Kind         string  `json:"kind"`
	Reason       string  `json:"reason"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// ExplainedRoute is the route that matches.
type ExplainedRoute struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Rank is that of the request: the customer's, if it has one.
	Rank          int      `json:"rank"`
	ScatterGather bool     `json:"scatter_gather"`
	Repeatable    bool     `json:"repeatable"`
	MaxAttempts   int      `json:"max_attempts"`
	TimeoutMS     float64  `json:"timeout_ms"`
	ObjectiveMS   float64  `json:"objective_ms"`
	MinCoverage   float64  `json:"min_coverage,omitempty"`
	Regions       []string `json:"regions,omitempty"`
	// HedgeAfterMS is absent where requests may run only once.
	HedgeAfterMS float64 `json:"hedge_after_ms,omitempty"`
}

// ExplainedCustomer is the customer that holds the key, and what the VM knows of its quota.
type ExplainedCustomer struct {
	Name    string   `json:"name"`
	Rank    *int     `json:"rank,omitempty"`
	Regions []string `json:"regions,omitempty"`
	// RatePerS is 0 without a limit.
	RatePerS float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	// Credit is available, denied or unknown, and absent where nothing limits the customer. With unknown the owner decides. Units is the
	// known number of units of credit.
	Credit       string  `json:"credit,omitempty"`
	Units        float64 `json:"units,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	Owner        string  `json:"owner,omitempty"`
}

// ExplainedService is a shard, or a service that the split may pick.
type ExplainedService struct {
	Service string            `json:"service"`
	Share   float64           `json:"share"`
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Chosen is the leaf that would most likely be chosen, and Why the reason.
	Chosen     string          `json:"chosen,omitempty"`
	Why        string          `json:"why"`
	Extras     ExplainedExtras `json:"extras"`
	Candidates []Candidate     `json:"candidates"`
}

// ExplainedExtras is the budget of extra attempts at a service.
type ExplainedExtras struct {
	// RetryAllowed and HedgeAllowed report whether the VM's own budget allows one now. Requests that may run only once are not hedged,
	// and are retried only if no leaf has run them.
	RetryAllowed bool `json:"retry_allowed"`
	HedgeAllowed bool `json:"hedge_allowed"`
	// First and Used are the attempts in the window, RetriesUpTo and HedgesUpTo how many extra ones are allowed in it.
	First       float64 `json:"first"`
	Used        float64 `json:"used"`
	RetriesUpTo float64 `json:"retries_up_to"`
	HedgesUpTo  float64 `json:"hedges_up_to"`
	// Pooled reports whether more are granted on request. Granted is the number of unused grants; none is requested until DeniedUntil.
	Pooled      bool       `json:"pooled"`
	Granted     int        `json:"granted,omitempty"`
	DeniedUntil *time.Time `json:"denied_until,omitempty"`
}

// Candidate is one leaf of a service. Costs are in units of the typical latency of the route.
type Candidate struct {
	Leaf             string `json:"leaf"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Standing is eligible, or why the leaf is not.
	Standing string     `json:"standing"`
	Until    *time.Time `json:"until,omitempty"`
	// Possible reports whether the random part of the costs can make this leaf the chosen one.
	Possible bool    `json:"possible"`
	Cost     float64 `json:"cost"`
	MaxCost  float64 `json:"max_cost"`
	Full     bool    `json:"full"`
	Cold     bool    `json:"cold"`
	// ColdUntil is when the warm-up of a cold leaf ends.
	ColdUntil   *time.Time `json:"cold_until,omitempty"`
	Stalled     bool       `json:"stalled"`
	OtherZone   bool       `json:"other_zone"`
	Preferred   bool       `json:"preferred"`
	Connections int        `json:"connections"`
	InFlight    int        `json:"in_flight"`
	// Requests is the expected number at the leaf, those of other VMs included. WorkLeftMS and NetworkMS are 0 with choice = requests.
	Requests    float64 `json:"requests"`
	WorkLeftMS  float64 `json:"work_left_ms"`
	Slowness    float64 `json:"slowness"`
	FinishMS    float64 `json:"finish_ms"`
	NetworkMS   float64 `json:"network_ms"`
	FailureRate float64 `json:"failure_rate"`
	OutlierRate float64 `json:"outlier_rate"`
}
