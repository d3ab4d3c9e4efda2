package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// runsTimeout limits the request to one backend server.
const runsTimeout = 5 * time.Second

// FetchRuns queries the stand-in of every configured backend server for the requests
// that it ran. Servers that do not answer are left out.
func FetchRuns(ctx context.Context, text *config.Text) map[model.BackendName]*backend.Runs {
	client := &http.Client{Timeout: runsTimeout}
	defer client.CloseIdleConnections()
	all := make(map[model.BackendName]*backend.Runs)
	for _, b := range text.Backends {
		if runs := fetchServerRuns(ctx, client, b.Address.String()); runs != nil {
			all[b.Name] = runs
		}
	}
	return all
}

func fetchServerRuns(ctx context.Context, client *http.Client, address string) *backend.Runs {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+backend.PathRuns, nil)
	if err != nil {
		return nil
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var runs backend.Runs
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&runs) != nil {
		return nil
	}
	return &runs
}
