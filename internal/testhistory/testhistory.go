// Package testhistory holds what the models of histories in tests share.
package testhistory

import "github.com/anishathalye/porcupine"

// PartitionBy returns a function for porcupine that divides a history into one for each
// key of its operations.
func PartitionBy[K comparable](key func(porcupine.Operation) K) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[K][]porcupine.Operation{}
		for _, op := range history {
			k := key(op)
			byKey[k] = append(byKey[k], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	}
}
