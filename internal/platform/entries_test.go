package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestOddEntryHidesNoOtherInstance has another writer leave one odd entry in the instance list.
func TestOddEntryHidesNoOtherInstance(t *testing.T) {
	const sound = `{"id":"entry-%d","zone":"north-a","link":"127.0.0.1:1"}`
	for name, odd := range map[string]string{
		"nested deeply":            strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"nested deeply in a field": `{"id":` + strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000) + "}",
		"number too large":         `{"id":"x","zone":"north-a","leaving":1e999}`,
		"field of another type":    `{"id":7,"zone":{}}`,
		"text with brackets":       `"a]}\\\"],{"`,
		"bytes that are no JSON":   "{no}",
	} {
		t.Run(name, func(t *testing.T) {
			body := fmt.Sprintf(`{"instances":[%s,%s,%s]}`, fmt.Sprintf(sound, 1), odd, fmt.Sprintf(sound, 2))
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte(body)) }))
			t.Cleanup(server.Close)
			client := NewClient(DefaultSettings(strings.TrimPrefix(server.URL, "http://")))
			t.Cleanup(client.Close)
			list, err := client.Instances().List(t.Context())
			var invalid *InvalidEntriesError
			require.ErrorAs(t, err, &invalid)
			require.Len(t, list, 2)
			require.Equal(t, model.InstanceID("entry-2"), list[1].ID)
		})
	}
	for _, body := range []string{"", "{}", `{"instances":7}`, `{"instances":[{"id":"a"`, `{"instances":[`, "no JSON"} {
		_, _, err := decodeInstances([]byte(body))
		require.Error(t, err, body)
	}
	list, invalid, err := decodeInstances([]byte(`{"instances":null}`))
	require.NoError(t, err)
	require.Empty(t, list)
	require.Empty(t, invalid)
}

// FuzzDecodeInstances checks that no list ends the process.
func FuzzDecodeInstances(f *testing.F) {
	f.Add([]byte(`{"instances":[{"id":"a"},[["]"]],"\\",1]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, invalid, err := decodeInstances(body)
		if err != nil {
			require.Empty(t, list)
			require.Empty(t, invalid)
		}
	})
}
