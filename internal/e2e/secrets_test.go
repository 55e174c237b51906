package e2e

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/daemon"
	"github.com/carobstile/carobstile/internal/devdeploy"
)

// promptMark is in every prompt that tests send, so that its text is found in a log.
const promptMark = "confidential-5d1f"

// secrets are texts that no log may hold, by what they are.
func (d *deployment) secrets() map[string]string {
	out := map[string]string{
		"prompt": promptMark, "bearer key": devdeploy.CallerKey, "other bearer key": devdeploy.OtherKey,
		"operator password": devdeploy.OperatorPassword, "private key": "PRIVATE KEY",
	}
	for _, p := range d.Processes {
		if p.Binary != "carobgate" {
			continue
		}
		data, err := os.ReadFile(p.Settings)
		require.NoError(d.t, err)
		var s daemon.Settings
		require.NoError(d.t, json.Unmarshal(data, &s))
		out["cluster key"], out["cursor key"] = s.ClusterKeys[0], s.CursorKeys[0]
	}
	return out
}

// scanLogs guards against keys and prompts in the log of any process of any test's deployment.
func (d *deployment) scanLogs() {
	secrets := d.secrets()
	for name, p := range d.processes {
		data, err := os.ReadFile(p.log)
		require.NoError(d.t, err)
		for what, text := range secrets {
			if strings.Contains(string(data), text) {
				d.t.Errorf("the log of %s holds a %s", name, what)
			}
		}
	}
}
