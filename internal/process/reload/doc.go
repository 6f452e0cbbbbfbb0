// Package reload applies changed settings to a running process. Routers and
// reporters use it: it loads their settings again on SIGHUP and every 2 s, and
// passes them to the process if they differ from those in force. Settings that
// cannot be loaded are logged and ignored.
package reload
