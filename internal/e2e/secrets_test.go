package e2e

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/daemon"
	"github.com/carobstile/carobstile/internal/devdeploy"
)

// promptMarker is part of every prompt that the tests send, so that prompt text can be detected in logs.
const promptMarker = "confidential-5d1f"

// secretTexts returns the texts that must not appear in any log, by description.
func (d *deployment) secretTexts() map[string]string {
	out := map[string]string{
		"prompt": promptMarker, "bearer key": devdeploy.CallerKey, "other bearer key": devdeploy.SecondCallerKey,
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

// checkLogsForSecrets guards against keys and prompts in the logs of the deployment's processes. It runs at the end of
// every test that starts a deployment.
func (d *deployment) checkLogsForSecrets() {
	secrets := d.secretTexts()
	for name, p := range d.processes {
		data, err := os.ReadFile(p.log)
		require.NoError(d.t, err)
		for description, text := range secrets {
			if strings.Contains(string(data), text) {
				d.t.Errorf("the log of %s contains a %s", name, description)
			}
		}
	}
}
