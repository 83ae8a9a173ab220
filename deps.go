//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/juju/errors"
	_ "github.com/oklog/run"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/tailscale/hujson"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
)
