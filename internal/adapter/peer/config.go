package peer

import (
	"context"
	"net"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Config holds the settings of a Mesh.
type Config struct {
	// Self identifies this process to its peers.
	Self       ident.Process
	DataCentre ident.DataCentre
	// ListenAddress is the host and port to listen on.
	ListenAddress string
	// Address is the host and port that peers are told to dial; by default,
	// the address of the listener.
	Address string
	// Token is shared by all instances of the fleet.
	Token string
	Clock clock.Clock
	// MaxFrame is the maximum size of a frame in bytes, without its length
	// prefix.
	MaxFrame int
	// MaxPendingMessages and MaxPendingBytes bound the queue of each stream of
	// a link. Send rejects messages beyond them.
	MaxPendingMessages int
	MaxPendingBytes    int
	// MaxHandshakes bounds the accepted connections that have not presented a
	// valid Hello yet. Further connections are closed at once.
	MaxHandshakes int
	// DialTimeout bounds a connection attempt, HandshakeTimeout the exchange
	// of Hello messages, and WriteTimeout a write that makes no progress.
	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	// LocalInterval and RemoteInterval are the heartbeat intervals within a
	// data centre and between data centres. A link on which nothing arrives for
	// MaxSilentIntervals intervals is closed and dialled again.
	LocalInterval      time.Duration
	RemoteInterval     time.Duration
	MaxSilentIntervals int
	// RedialMin and RedialMax bound the exponential back-off between dials.
	RedialMin time.Duration
	RedialMax time.Duration
	// DialGrace is how long the instance with the higher id waits for the
	// other to dial. It then dials itself, because the other may not know it.
	DialGrace time.Duration
	// Network opens the connections; by default, over TCP.
	Network Network
}

// Network listens for connections and opens them. A nil field stands for TCP.
type Network struct {
	Listen func(ctx context.Context, address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// withTCP returns n with TCP in place of its nil fields.
func (n Network) withTCP() Network {
	if n.Listen == nil {
		n.Listen = func(ctx context.Context, address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		}
	}
	if n.Dial == nil {
		n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return n
}

// Defaults returns cfg with its zero fields set to their defaults.
func (cfg Config) Defaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	setInt(&cfg.MaxFrame, 4<<20)
	setInt(&cfg.MaxPendingMessages, 4096)
	setInt(&cfg.MaxPendingBytes, 16<<20)
	setInt(&cfg.MaxHandshakes, 64)
	setInt(&cfg.MaxSilentIntervals, 3)
	setDuration(&cfg.DialTimeout, time.Second)
	setDuration(&cfg.HandshakeTimeout, 2*time.Second)
	setDuration(&cfg.WriteTimeout, 3*time.Second)
	setDuration(&cfg.LocalInterval, 500*time.Millisecond)
	setDuration(&cfg.RemoteInterval, 2*time.Second)
	setDuration(&cfg.RedialMin, 50*time.Millisecond)
	setDuration(&cfg.RedialMax, 5*time.Second)
	setDuration(&cfg.DialGrace, 2*time.Second)
	cfg.Network = cfg.Network.withTCP()
	return cfg
}

// minFrame is the smallest valid MaxFrame, which leaves room for any Hello.
const minFrame = maxHello

// Validate returns an error of kind fault.SettingsInvalid for the first invalid
// field, or nil. The error's field is "near" for both intervals, "max-pending"
// for both limits of a queue and "timeouts" for all timeouts.
func (cfg Config) Validate() error {
	_, _, addressErr := net.SplitHostPort(cfg.ListenAddress)
	switch {
	case !ident.ValidName(string(cfg.Self.Instance)):
		return invalidSetting("self", "must name an instance")
	case cfg.Self.Incarnation == 0:
		return invalidSetting("self", "must have an incarnation")
	case !ident.ValidName(string(cfg.DataCentre)):
		return invalidSetting("data-centre", "must name a data centre")
	case addressErr != nil:
		return invalidSetting("listen-address", "must be a host and port")
	case cfg.Token == "" || len(cfg.Token) > maxToken:
		return invalidSetting("token", "must have 1 to 1024 bytes")
	case len(cfg.Address) > maxAddress:
		return invalidSetting("address", "is longer than 256 bytes")
	case cfg.MaxFrame < minFrame || cfg.MaxFrame > 1<<30:
		return invalidSetting("max-frame", "must be 4 KiB to 1 GiB")
	case cfg.MaxPendingMessages < 1 || cfg.MaxPendingBytes < 1:
		return invalidSetting("max-pending", "messages and bytes must be at least 1")
	case cfg.MaxHandshakes < 1 || cfg.MaxSilentIntervals < 1:
		return invalidSetting("max-handshakes", "must be at least 1, and so must max-silent-intervals")
	case cfg.DialTimeout <= 0 || cfg.HandshakeTimeout <= 0 || cfg.WriteTimeout <= 0:
		return invalidSetting("timeouts", "the dial, handshake and write timeouts must be above 0")
	case cfg.LocalInterval <= 0 || cfg.RemoteInterval < cfg.LocalInterval:
		return invalidSetting("near", "the local interval must be above 0 and at most the remote interval")
	case cfg.RedialMin <= 0 || cfg.RedialMax < cfg.RedialMin:
		return invalidSetting("redial-min", "must be above 0 and at most redial-max")
	case cfg.DialGrace < 0:
		return invalidSetting("dial-grace", "must not be negative")
	}
	return nil
}

// interval returns the heartbeat interval for peers in a data centre.
func (cfg Config) interval(dc ident.DataCentre) time.Duration {
	if dc == cfg.DataCentre {
		return cfg.LocalInterval
	}
	return cfg.RemoteInterval
}

func invalidSetting(field, detail string) error {
	return fault.New(fault.SettingsInvalid, fault.RanNo).WithField(field).WithDetail(detail)
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
