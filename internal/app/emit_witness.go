package app

import (
	"context"
	"errors"
	"fmt"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/witness"
)

func (p *Process) emitWitness(_ context.Context, o witness.Output) {
	switch o := o.(type) {
	case witness.SendRememberReply:
		o.To <- o.Reply
	case witness.SendRecallReply:
		o.To <- o.Reply
	}
}

// submitRemember sends a batch of request ids to a witness. If the pool rejects
// the task, this counts as a witness that didn't reply.
func (p *Process) submitRemember(ctx context.Context, o front.SendRememberRequest) {
	done := front.RememberDone{Target: o.Batch.Target, From: o.To, Number: o.Number}
	err := p.recordPool.Submit(ctx, func(ctx context.Context) {
		done.Reply = p.rememberAt(ctx, o)
		_ = p.fronts.PutBlocking(context.WithoutCancel(ctx), done)
	})
	if err != nil {
		p.postAsync(ctx, done)
	}
}

// submitRecall requests the request ids that a VM stores.
func (p *Process) submitRecall(ctx context.Context, o front.SendRecallRequest) {
	done := front.RecallDone{Target: o.Request.Target, From: o.From, Number: o.Number, Ranges: o.Request.Ranges}
	err := p.recordPool.Submit(ctx, func(ctx context.Context) {
		reply, err := p.recallFrom(ctx, o)
		done.Reply, done.Failed = reply, err != nil
		_ = p.fronts.PutBlocking(context.WithoutCancel(ctx), done)
	})
	if err != nil {
		done.Failed = true
		p.postAsync(ctx, done)
	}
}

// postAsync posts a result to the front duty from another goroutine: the duty's
// own goroutine must not block on the duty's ring.
func (p *Process) postAsync(ctx context.Context, m front.Message) {
	go func() { _ = p.fronts.PutBlocking(ctx, m) }()
}

var errNoAddress = errors.New("app: address of the VM is unknown")

func (p *Process) addressOf(ctx context.Context, vm core.VM) (string, error) {
	reply := make(chan string, 1)
	if err := p.routes.Put(ctx, route.AddressRequested{VM: vm, Reply: reply}); err != nil {
		return "", err
	}
	select {
	case address := <-reply:
		if address == "" {
			return "", fmt.Errorf("%w: %s", errNoAddress, vm)
		}
		return address, nil
	case <-ctx.Done():
		return "", fmt.Errorf("app: address of %s: %w", vm, ctx.Err())
	}
}

func (p *Process) rememberAt(ctx context.Context, o front.SendRememberRequest) witness.RememberReply {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	address, err := p.addressOf(ctx, o.To)
	if err != nil {
		return witness.RememberReply{}
	}
	stored, err := p.peers.Remember(ctx, address, o.Batch)
	if err != nil {
		return witness.RememberReply{}
	}
	return stored
}

func (p *Process) recallFrom(ctx context.Context, o front.SendRecallRequest) (witness.RecallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	if o.From == p.settings.VM {
		// The front has its own request ids; this VM may also be a witness.
		return p.recallWitness(ctx, o.Request)
	}
	address, err := p.addressOf(ctx, o.From)
	if err != nil {
		return witness.RecallReply{}, err
	}
	return p.peers.Recall(ctx, address, o.Request)
}

// rememberForPeer stores another front's request ids at this VM.
func (p *Process) rememberForPeer(ctx context.Context, b witness.Batch) (witness.RememberReply, error) {
	reply := make(chan witness.RememberReply, 1)
	if err := p.witnesses.Put(ctx, witness.RememberRequested{Batch: b, Reply: reply}); err != nil {
		return witness.RememberReply{}, err
	}
	select {
	case stored := <-reply:
		return stored, nil
	case <-ctx.Done():
		return witness.RememberReply{}, fmt.Errorf("app: remember: %w", ctx.Err())
	}
}

// recallForPeer returns the request ids that this VM stores as a front and as a
// witness.
func (p *Process) recallForPeer(ctx context.Context, request witness.RecallRequest) (witness.RecallReply, error) {
	reply := make(chan witness.RecallReply, 1)
	if err := p.fronts.PutBlocking(ctx, front.RecallRequested{Request: request, Reply: reply}); err != nil {
		return witness.RecallReply{}, err
	}
	stored, err := p.recallWitness(ctx, request)
	if err != nil {
		return witness.RecallReply{}, err
	}
	select {
	case own := <-reply:
		return own.Merge(stored), nil
	case <-ctx.Done():
		return witness.RecallReply{}, fmt.Errorf("app: recall: %w", ctx.Err())
	}
}

func (p *Process) recallWitness(ctx context.Context, request witness.RecallRequest) (witness.RecallReply, error) {
	reply := make(chan witness.RecallReply, 1)
	if err := p.witnesses.PutBlocking(ctx, witness.RecallRequested{Request: request, Reply: reply}); err != nil {
		return witness.RecallReply{}, err
	}
	select {
	case stored := <-reply:
		return stored, nil
	case <-ctx.Done():
		return witness.RecallReply{}, fmt.Errorf("app: recall: %w", ctx.Err())
	}
}
