package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/recovery"
	"liftgauge/internal/snapshot"
	"liftgauge/replication"
)

// statePollInterval is the interval at which AwaitFounded requests the accounts of the control processes.
const statePollInterval = 200 * time.Millisecond

// Snapshot returns a copy of control's state that a majority has confirmed, as a file.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	file, _, err := c.call(ctx, http.MethodGet, "/snapshot", nil)
	if err != nil {
		return nil, err
	}
	if _, err := snapshot.Decode(file); err != nil {
		return nil, err
	}
	return file, nil
}

// Accounts requests the accounts of all control processes at the addresses of the client and of those that they report in turn.
func (c *Client) Accounts(ctx context.Context) ([]recovery.Account, error) {
	var accounts []recovery.Account
	var last error
	requested, nodes := map[string]bool{}, map[string]bool{}
	for next := c.addresses; len(next) > 0; next = next[1:] {
		if requested[next[0]] {
			continue
		}
		requested[next[0]] = true
		account, err := c.account(ctx, next[0])
		if err != nil {
			last = err
			continue
		}
		if !nodes[account.Node] {
			nodes[account.Node] = true
			accounts = append(accounts, *account)
		}
		next = append(next[:len(next):len(next)], account.Others...)
	}
	if len(accounts) == 0 {
		return nil, &NoResponseError{Last: last}
	}
	return accounts, nil
}

func (c *Client) account(ctx context.Context, address string) (*recovery.Account, error) {
	response, err := c.callOne(ctx, http.MethodGet, address, "/recovery/account", nil)
	if err != nil {
		return nil, err
	}
	account := new(recovery.Account)
	if err := json.Unmarshal(response, account); err != nil {
		return nil, errors.Newf("the account of %s cannot be read (%s): ask a control process of this version", address, firstBytes(response))
	}
	return account, nil
}

// Found executes a plan: the other processes join the generation, then the founder writes its state and exits. The file is a snapshot of an
// earlier state, or nil to use the records of the plan's source.
func (c *Client) Found(ctx context.Context, p *recovery.Plan, file []byte) error {
	request := recovery.FoundRequest{View: p.View, Snapshot: file}
	if file == nil && p.Source != nil {
		records, err := callWith(ctx, &c.slow, http.MethodGet, p.Source.ControlPlane, "/recovery/records", nil)
		if err != nil {
			return errors.Wrapf(err, "reading the records of %s; nothing was changed", p.Source.Node)
		}
		request.Snapshot, request.Survivor = records, true
	}
	for _, other := range p.Join {
		if err := c.join(ctx, other.ControlPlane, p.View); err != nil {
			return errors.Wrapf(err, "%s did not join; nothing is founded: run the command again", other.Node)
		}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, err = callWith(ctx, &c.slow, http.MethodPost, p.Founder.ControlPlane, "/recovery/found", body)
	return errors.Wrapf(err, "founding on %s; run the command again", p.Founder.Node)
}

func (c *Client) join(ctx context.Context, address string, view replication.ControlView) error {
	body, err := json.Marshal(recovery.JoinRequest{View: view})
	if err != nil {
		return err
	}
	_, err = callWith(ctx, &c.slow, http.MethodPost, address, "/recovery/join", body)
	return err
}

// AwaitFounded returns once a process of the plan's generation is the active primary, or when the context ends.
func (c *Client) AwaitFounded(ctx context.Context, p *recovery.Plan) (*recovery.Account, error) {
	for {
		accounts, _ := c.Accounts(ctx)
		for i := range accounts {
			if accounts[i].Active && accounts[i].Installed.Generation >= p.View.Generation {
				return &accounts[i], nil
			}
		}
		select {
		case <-time.After(statePollInterval):
		case <-ctx.Done():
			return nil, errors.Newf("%s wrote the state, but no primary of the new generation is active yet: check that its process was restarted, and that another control process with a disk runs", p.Founder.Node)
		}
	}
}
