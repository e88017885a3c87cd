package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/statuspage"
	"liftgauge/placement"
)

// RetirementState is how far the emptying of a machine is.
type RetirementState string

// The states.
const (
	RetirementRunning   RetirementState = "running"
	RetirementSucceeded RetirementState = "succeeded" // the machine holds nothing that is needed
)

// retirementPoll is how often a retirement that is awaited is asked for.
const retirementPoll = 500 * time.Millisecond

// Describe returns the newest configuration, whole, as JSON.
func (c *Client) Describe(ctx context.Context) ([]byte, error) {
	answer, _, err := c.call(ctx, http.MethodGet, "/config/describe", nil)
	return answer, err
}

// StartRetirement asks for a storage machine to be emptied, within the duration if that can be.
func (c *Client) StartRetirement(ctx context.Context, node string, within time.Duration) error {
	body, err := json.Marshal(struct{ DurationS float64 }{within.Seconds()})
	if err != nil {
		return err
	}
	_, repeated, err := c.call(ctx, http.MethodPost, retirePath(node, "start"), body)
	var refused *RefusedError
	if repeated && errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return nil // an earlier try has begun it
	}
	return err
}

// Retirement returns how far the emptying of a storage machine is.
func (c *Client) Retirement(ctx context.Context, node string) (RetirementState, error) {
	answer, _, err := c.call(ctx, http.MethodGet, retirePath(node, "describe"), nil)
	if err != nil {
		return "", err
	}
	var page struct{ State RetirementState }
	if err := json.Unmarshal(answer, &page); err != nil || page.State == "" {
		return "", errors.Newf("the state of the retirement cannot be read (%s): ask a control process of this version", firstBytes(answer))
	}
	return page.State, nil
}

// AwaitRetirement returns once the machine is empty, or when the context ends.
func (c *Client) AwaitRetirement(ctx context.Context, node string) error {
	for {
		state, err := c.Retirement(ctx, node)
		if err != nil {
			return err
		}
		if state == RetirementSucceeded {
			return nil
		}
		select {
		case <-time.After(retirementPoll):
		case <-ctx.Done():
			return errors.Newf("%s is still being emptied: ask again with liftgauge retire --describe %[1]s", node)
		}
	}
}

// Abandonment is what giving up the disks of a machine means, in counts of partitions.
type Abandonment struct {
	Stores []string
	placement.Abandonment
}

// Abandonment returns what it would mean to give up the disks of a storage machine whose store is gone.
func (c *Client) Abandonment(ctx context.Context, node string) (*Abandonment, error) {
	return c.abandonment(ctx, http.MethodGet, node, "describe")
}

// Abandon gives up the disks of a storage machine whose store is gone, and returns what that means.
func (c *Client) Abandon(ctx context.Context, node string) (*Abandonment, error) {
	return c.abandonment(ctx, http.MethodPost, node, "start")
}

func (c *Client) abandonment(ctx context.Context, method, node, verb string) (*Abandonment, error) {
	answer, _, err := c.call(ctx, method, "/abandon/"+url.PathEscape(node)+"/"+verb, nil)
	if err != nil {
		return nil, err
	}
	page := new(Abandonment)
	if err := json.Unmarshal(answer, page); err != nil {
		return nil, errors.Newf("what is given up cannot be read (%s): ask a control process of this version", firstBytes(answer))
	}
	return page, nil
}

func retirePath(node, verb string) string { return "/retire/" + url.PathEscape(node) + "/" + verb }

// Status returns what the primary knows of the system, or another control process where the primary cannot be reached.
func (c *Client) Status(ctx context.Context) (*statuspage.Page, error) {
	page, err := c.status(ctx)
	if err != nil || page.Active || page.PrimaryPlane == "" {
		return page, err
	}
	answer, err := c.callOne(ctx, http.MethodGet, page.PrimaryPlane, statusPath, nil)
	if err != nil {
		return page, nil
	}
	if primary, err := parseStatus(answer); err == nil {
		return primary, nil
	}
	return page, nil
}

func (c *Client) status(ctx context.Context) (*statuspage.Page, error) {
	answer, _, err := c.call(ctx, http.MethodGet, statusPath, nil)
	if err != nil {
		return nil, err
	}
	return parseStatus(answer)
}

const statusPath = "/status"

func parseStatus(answer []byte) (*statuspage.Page, error) {
	page := new(statuspage.Page)
	if err := json.Unmarshal(answer, page); err != nil {
		return nil, errors.Newf("the status cannot be read (%s): ask a control process of this version", firstBytes(answer))
	}
	return page, nil
}
