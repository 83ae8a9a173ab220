package main

// config is the operator's configuration of the cases: a model service with resumable
// streams, and one tenant.
func config(version int, rate, burst float64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "chat", "host": host, "prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 4000, "goal_ms": 250,
			"priority": 1, "service": "models", "max_attempts": 2, "retain": false, "keyless": false, "sticky": true,
			"can_resume": true, "gap_target_ms": 300,
		}, {
			"name": "book", "host": host, "prefix": "/book/", "route_kind": "unsafe", "timeout_ms": 2000, "goal_ms": 200,
			"priority": 2, "service": "core", "max_attempts": 1, "retain": false, "keyless": false, "sticky": false, "can_resume": false,
		}},
		"services": []map[string]any{{
			"name": "models", "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
			"engine": map[string]any{
				"slots": 48, "kv_capacity": 841052, "kv_token_bytes": 35136, "link_mbps": 4400000.0, "moves": true, "backups": true,
				"stride": 26, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			},
		}, {
			"name": "core", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "shop", "api_keys": []string{key}, "priority": 1, "rate_per_s": rate, "burst": burst}},
	}
}
