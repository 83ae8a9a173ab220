package main

// chatConfig is a configuration with a route of programs' turns and one of plain calls.
func chatConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "chat", "host": clientHost, "prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 3000, "goal_ms": 200,
				"priority": 1, "service": "models", "max_attempts": 2, "retain": false, "retain_s": 60, "keyless": false,
				"sticky": true, "can_resume": true, "gap_target_ms": 300,
			},
			map[string]any{
				"name": "book", "host": clientHost, "prefix": "/book/", "route_kind": "unsafe", "timeout_ms": 1500, "goal_ms": 150,
				"priority": 2, "service": "desk", "max_attempts": 1, "retain": false, "retain_s": 60, "keyless": false,
			},
			map[string]any{
				"name": "look", "host": clientHost, "prefix": "/look/", "route_kind": "safe", "timeout_ms": 1000, "goal_ms": 60,
				"priority": 0, "service": "desk", "max_attempts": 2, "retain": false, "retain_s": 60, "keyless": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "models", "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false, "cold_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 48, "kv_capacity": 841052, "stride": stride, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "fes", "api_keys": []string{clientKey}, "rate_per_s": 0, "burst": 0}},
	}
}

// talkConfig is chatConfig with a route whose turns are kept.
func talkConfig() map[string]any {
	config := chatConfig()
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "talk", "host": clientHost, "prefix": "/talk/", "route_kind": "streaming", "timeout_ms": 3000, "goal_ms": 200,
		"priority": 0, "service": "models", "max_attempts": 2, "retain": true, "retain_s": 60, "keyless": false,
		"sticky": true, "can_resume": false, "gap_target_ms": 300,
	})
	return config
}
