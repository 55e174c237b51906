// Package config defines the configuration document: one JSON document that holds the complete intended configuration
// of a deployment. The doc comments of the structs are published as descriptions in the JSON Schema.
package config

// FormatVersion is the only value of Document.FormatVersion that this release reads.
const FormatVersion = 1

// Document is the whole intended configuration.
type Document struct {
	FormatVersion int    `json:"formatVersion"`
	Limits        Limits `json:"limits"`
	// Callers are the customers whose requests the deployment serves.
	Callers        []Caller        `json:"callers"`
	Workspaces     []Workspace     `json:"workspaces"`
	Models         []Model         `json:"models"`
	BackendServers []BackendServer `json:"backendServers"`
	Routes         []Route         `json:"routes"`
	WeightStore    WeightStore     `json:"weightStore"`
}

// Limits apply to the whole deployment. Zero values take the defaults of WithDefaults.
type Limits struct {
	// DefaultDeadlineMs is the deadline of a request that states none; default 60,000.
	DefaultDeadlineMs int `json:"defaultDeadlineMs,omitempty"`
	// MaxDeadlineMs is the longest deadline a caller may ask for; default 1,800,000.
	MaxDeadlineMs int `json:"maxDeadlineMs,omitempty"`
	// MaxBodyBytes is the largest request body; default 8 MiB, which holds a prompt of a million tokens.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// MaxOutputTokens bounds max_tokens; default 4,096.
	MaxOutputTokens int `json:"maxOutputTokens,omitempty"`
	// CrashLimit is the number of engines that a request may crash before it is refused; 1 to 5, default 3.
	CrashLimit int `json:"crashLimit,omitempty"`
	// QueueLimit is the number of requests that may wait in one pool; default 512.
	QueueLimit int `json:"queueLimit,omitempty"`
}

// Caller is a customer.
type Caller struct {
	Name string `json:"name"`
	// Priority of the caller's requests, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Models, Adapters ("model/adapter") and Routes that the caller may use.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Routes   []string `json:"routes,omitempty"`
}

// Workspace is a part of a caller, with keys and limits of its own.
type Workspace struct {
	Name   string `json:"name"`
	Caller string `json:"caller"`
	// KeyHashes are the SHA-256 of the workspace's bearer keys, in hex.
	KeyHashes []string `json:"keyHashes"`
	// Weight in fair queuing; default 1.
	Weight int `json:"weight,omitempty"`
	// MaxConcurrent bounds the workspace's open requests at one gate; 0 means no bound.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// MaxPromptTokens bounds the prompts of the workspace; 0 means the model's own bound.
	MaxPromptTokens int `json:"maxPromptTokens,omitempty"`
}

// Model is a model that the deployment serves.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// MaxPromptTokens is the longest prompt the model takes.
	MaxPromptTokens int `json:"maxPromptTokens"`
	// MinReplicas is the number of backend servers that must have the model ready.
	MinReplicas int `json:"minReplicas"`
	// Pools that may serve the model; empty means all.
	Pools    []string  `json:"pools,omitempty"`
	Adapters []Adapter `json:"adapters,omitempty"`
}

// Adapter is a variant of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// BackendKind says which protocol a backend server speaks.
type BackendKind string

// Kinds of backend servers.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is a model engine or a plain service.
type BackendServer struct {
	Name string `json:"name"`
	// Address is the IP address and port.
	Address       string      `json:"address"`
	Kind          BackendKind `json:"kind"`
	Region        string      `json:"region"`
	FailureDomain string      `json:"failureDomain"`
	// Pool of an engine. All engines of a pool are in one failure domain.
	Pool string `json:"pool,omitempty"`
	// KVTokens is the KV memory of an engine, in tokens.
	KVTokens int `json:"kvTokens,omitempty"`
	// MaxModels is the number of models whose weights fit in an engine's memory at once; default 2, so that a new
	// version can be loaded beside the old one.
	MaxModels int `json:"maxModels,omitempty"`
	// PrefillTokensPerSecond is the nominal rate at which an engine reads prompts.
	PrefillTokensPerSecond int `json:"prefillTokensPerSecond,omitempty"`
	// DecodeTokensPerSecond is the nominal rate of one stream of an engine.
	DecodeTokensPerSecond int `json:"decodeTokensPerSecond,omitempty"`
	// ChecksFence is true when the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
	// TrustworthyRefusals is true when a refusal of this backend server proves that nothing was run.
	TrustworthyRefusals bool `json:"trustworthyRefusals,omitempty"`
	// Drained backend servers receive no new work.
	Drained bool `json:"drained,omitempty"`
}

// Route is a plain service, offered at /services/<name>/.
type Route struct {
	Name           string   `json:"name"`
	BackendServers []string `json:"backendServers"`
	// Idempotent routes may be retried; calls of other routes run at most once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs is the longest a call may take; default 10,000.
	TimeoutMs int `json:"timeoutMs,omitempty"`
}

// WeightStore states the limits of the platform's weight store.
type WeightStore struct {
	// LoadsPerMinute over the whole deployment; default 6.
	LoadsPerMinute int `json:"loadsPerMinute,omitempty"`
	// MaxConcurrentLoads over the whole deployment; default 2.
	MaxConcurrentLoads int `json:"maxConcurrentLoads,omitempty"`
}
