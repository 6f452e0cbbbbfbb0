// Package relay is a TCP relay that tests place between two processes to inject
// network faults. It closes, resets, silences or delays their connections, or
// refuses new ones. A silenced connection stays open but forwards nothing, as when
// a network path drops all packets.
package relay
