// Package fairqueue holds waiting work and hands it out fairly between client accounts.
package fairqueue
