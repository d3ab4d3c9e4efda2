// Package prove runs whole fleets of entry processes against stand-ins under
// faults, and checks what callers were told against what backend servers ran.
// Its tests take minutes and need the build tag "prove"; see make prove.
package prove
