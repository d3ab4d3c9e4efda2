//go:build prove

package prove

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// TestOnceModel checks which histories of a once key onceModel accepts and rejects.
func TestOnceModel(t *testing.T) {
	op := func(id string, call int64, out onceOutput) porcupine.Operation {
		return porcupine.Operation{Input: [2]string{"k", id}, Call: call, Return: call + 1, Output: out}
	}
	ran := func(id string) porcupine.Operation { return op(finalRead, 90, onceOutput{ran: id}) }
	lost := op("a", 10, onceOutput{result: unknown})
	lost.Return = 80
	cases := map[string]struct {
		history []porcupine.Operation
		want    bool
	}{
		"repeat gets the stored answer": {[]porcupine.Operation{
			op("a", 10, onceOutput{result: served, answerID: "a"}), op("b", 20, onceOutput{result: served, answerID: "a"}), ran("a"),
		}, true},
		"unknown ran later":    {[]porcupine.Operation{lost, op("b", 20, onceOutput{result: notRun}), ran("a")}, true},
		"unknown did not run":  {[]porcupine.Operation{lost, ran("")}, true},
		"two answers":          {[]porcupine.Operation{op("a", 10, onceOutput{result: served, answerID: "a"}), op("b", 20, onceOutput{result: served, answerID: "b"}), ran("a")}, false},
		"not-run ran":          {[]porcupine.Operation{op("a", 10, onceOutput{result: notRun}), ran("a")}, false},
		"answer before it ran": {[]porcupine.Operation{op("b", 5, onceOutput{result: served, answerID: "a"}), lost, ran("a")}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, porcupine.CheckOperations(onceModel.ToModel(), c.history))
		})
	}
}
