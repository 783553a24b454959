package toucanadmit

// NewToucan returns the policy that admits by a forecast of the engine's memory.
func NewToucan(cfg Config) Policy { return NewNaive(cfg.withDefaults()) }
