// Package ledgerpb holds the protobuf form of the idempotency ledger's rows.
package ledgerpb
