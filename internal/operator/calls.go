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

// RetirementState is the progress of the retirement of a storage machine.
type RetirementState string

// The states.
const (
	RetirementRunning   RetirementState = "running"
	RetirementSucceeded RetirementState = "succeeded" // the machine holds no data that is still needed
)

// retirementPollInterval is the interval at which AwaitRetirement polls the state.
const retirementPollInterval = 500 * time.Millisecond

// Describe returns the complete current configuration as JSON.
func (c *Client) Describe(ctx context.Context) ([]byte, error) {
	response, _, err := c.call(ctx, http.MethodGet, "/config/describe", nil)
	return response, err
}

// StartRetirement requests that a storage machine be emptied, within the duration if possible.
func (c *Client) StartRetirement(ctx context.Context, node string, within time.Duration) error {
	body, err := json.Marshal(struct{ DurationS float64 }{within.Seconds()})
	if err != nil {
		return err
	}
	_, repeated, err := c.call(ctx, http.MethodPost, retirePath(node, "start"), body)
	var refused *RefusedError
	if repeated && errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return nil // an earlier attempt has started it
	}
	return err
}

// Retirement returns the progress of the retirement of a storage machine.
func (c *Client) Retirement(ctx context.Context, node string) (RetirementState, error) {
	response, _, err := c.call(ctx, http.MethodGet, retirePath(node, "describe"), nil)
	if err != nil {
		return "", err
	}
	var page struct{ State RetirementState }
	if err := json.Unmarshal(response, &page); err != nil || page.State == "" {
		return "", errors.Newf("the state of the retirement cannot be read (%s): ask a control process of this version", firstBytes(response))
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
		case <-time.After(retirementPollInterval):
		case <-ctx.Done():
			return errors.Newf("%s is still being emptied: check again with liftgauge retire --describe %[1]s", node)
		}
	}
}

// Abandonment describes the effect of abandoning the disks of a machine, in numbers of partitions.
type Abandonment struct {
	Stores []string
	placement.Abandonment
}

// Abandonment returns the effect that abandoning the disks of a storage machine whose store is lost would have.
func (c *Client) Abandonment(ctx context.Context, node string) (*Abandonment, error) {
	return c.abandonment(ctx, http.MethodGet, node, "describe")
}

// Abandon abandons the disks of a storage machine whose store is lost, and returns the effect.
func (c *Client) Abandon(ctx context.Context, node string) (*Abandonment, error) {
	return c.abandonment(ctx, http.MethodPost, node, "start")
}

func (c *Client) abandonment(ctx context.Context, method, node, verb string) (*Abandonment, error) {
	response, _, err := c.call(ctx, method, "/abandon/"+url.PathEscape(node)+"/"+verb, nil)
	if err != nil {
		return nil, err
	}
	page := new(Abandonment)
	if err := json.Unmarshal(response, page); err != nil {
		return nil, errors.Newf("what is given up cannot be read (%s): ask a control process of this version", firstBytes(response))
	}
	return page, nil
}

func retirePath(node, verb string) string { return "/retire/" + url.PathEscape(node) + "/" + verb }

// Status returns the status of the system as seen by the primary, or by another control process if the primary cannot be reached.
func (c *Client) Status(ctx context.Context) (*statuspage.Page, error) {
	page, err := c.status(ctx)
	if err != nil || page.Active || page.PrimaryPlane == "" {
		return page, err
	}
	response, err := c.callOne(ctx, http.MethodGet, page.PrimaryPlane, statusPath, nil)
	if err != nil {
		return page, nil
	}
	if primary, err := parseStatus(response); err == nil {
		return primary, nil
	}
	return page, nil
}

func (c *Client) status(ctx context.Context) (*statuspage.Page, error) {
	response, _, err := c.call(ctx, http.MethodGet, statusPath, nil)
	if err != nil {
		return nil, err
	}
	return parseStatus(response)
}

const statusPath = "/status"

func parseStatus(response []byte) (*statuspage.Page, error) {
	page := new(statuspage.Page)
	if err := json.Unmarshal(response, page); err != nil {
		return nil, errors.Newf("the status cannot be read (%s): ask a control process of this version", firstBytes(response))
	}
	return page, nil
}
