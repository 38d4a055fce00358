package simulation

import "wayloft/router"

// newRouterSettings returns the settings of simulated routers. Runs differ in the number of routers and in the request classes. Times are
// in ms.
func newRouterSettings(routers int, classes map[string]*router.RequestClass) *router.Settings {
	return &router.Settings{
		Routers:           routers,
		ListPollTimeout:   10000,
		SlowStartFloor:    0.2,
		SlowStartDuration: 1000,
		OverloadMultiple:  2.5,
		OverloadWindow:    2000,
		MaxAttempts:       6,
		CanHealthCheck:    true,
		CanCancel:         true,
		RetryAfter:        1000,
		RequestClasses:    classes,
		Tenants:           map[string]float64{},
	}
}
