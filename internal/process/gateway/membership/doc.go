// Package membership tracks which instances a gateway may send new work to. A
// View merges four sources: the instance list, the operators' configuration of
// the data centres, the sidecars' own reports, and the gateway's own failed and
// successful calls. An instance is usable only if none of the first three
// forbids it. The gateway's own calls only eject an instance for a while and
// reduce its weight.
package membership
