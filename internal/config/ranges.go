package config

// Range is the closed range of a number. An optional number may also be 0 or missing, which stands for its default.
type Range struct {
	Low, High int
	Optional  bool
}

// Ranges returns the ranges of all numbers by "<Type>.<field>". The published schema is generated from them.
func Ranges() map[string]Range {
	optional := func(low, high int) Range { return Range{Low: low, High: high, Optional: true} }
	return map[string]Range{
		"Document.formatVersion":               {Low: FormatVersion, High: FormatVersion},
		"Limits.defaultDeadlineMs":             optional(1, maxDeadlineBoundMs),
		"Limits.maxDeadlineMs":                 optional(1, maxDeadlineBoundMs),
		"Limits.maxBodyBytes":                  optional(minBodyBytes, maxBodyBytesBound),
		"Limits.maxOutputTokens":               optional(1, maxTokensBound),
		"Limits.crashLimit":                    optional(1, maxCrashLimit),
		"Limits.queueLimit":                    optional(1, maxQueueBound),
		"WeightStore.loadsPerMinute":           optional(1, maxLoadsBound),
		"WeightStore.maxConcurrentLoads":       optional(1, maxLoadsBound),
		"Caller.priority":                      {Low: 0, High: maxPriority},
		"Workspace.weight":                     optional(1, maxWeight),
		"Workspace.maxConcurrent":              optional(1, maxConcurrentBound),
		"Workspace.maxPromptTokens":            optional(1, maxTokensBound),
		"Model.maxPromptTokens":                {Low: 1, High: maxTokensBound},
		"Model.minReplicas":                    {Low: 0, High: maxReplicasBound},
		"BackendServer.kvTokens":               optional(1, maxKVTokensBound),
		"BackendServer.maxModels":              optional(1, maxModelsBound),
		"BackendServer.prefillTokensPerSecond": optional(1, maxRateBound),
		"BackendServer.decodeTokensPerSecond":  optional(1, maxRateBound),
		"Route.timeoutMs":                      optional(1, maxDeadlineBoundMs),
	}
}
