package forwarding

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/connection/upstreamclient"
	"github.com/flamingohold/flamingohold/internal/process/directory"
	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/statedlimit"
)

// observeLimit records what the answer says of the upstream's rate limit. Only
// successes show that there is no limit any more.
func (c *call) observeLimit(v directory.View, o outcome, answer *upstreamclient.Answer, sentAt, now time.Time) {
	if o != answered && o != declined {
		return
	}
	perSecond, limited, err := c.Names.StatedLimit(answer.Header)
	if err != nil {
		c.Log.Emit(eventlog.UpstreamLimitInvalid).Str("request_id", c.id).Str("upstream", v.ID).Err(err).Send()
		return
	}
	if !limited && !isSuccess(answer.Status) {
		return
	}
	c.Limits.Observe(statedlimit.Statement{
		Upstream: statedlimit.Upstream{ID: v.ID, Incarnation: v.Incarnation},
		Limited:  limited, PerSecond: perSecond, SentAt: sentAt,
	}, now)
}
