"""Metrics of one instance in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest, Histogram

# Upper bounds of latency buckets in seconds, from the latency of a local call to a timeout.
_LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# Values of Retry-After, in whole seconds.
_RETRY_AFTER_BUCKETS_S = (1.0, 2.0, 3.0, 4.0, 5.0)


class Metrics:
    """Counters, gauges and histograms of one instance."""

    def __init__(self) -> None:
        """Register the metrics in a separate registry."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'dahliaarch_requests',
            'Answers to callers',
            ['operation', 'status'],
            registry=self.registry,
        )
        self.request_s = Histogram(
            'dahliaarch_request_seconds',
            'Time from a whole request to its answer',
            ['operation'],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            'dahliaarch_refusals',
            'Refusals that say when to return',
            ['reason'],
            registry=self.registry,
        )
        self.retry_after_s = Histogram(
            'dahliaarch_retry_after_seconds',
            'Time after which refused callers are asked to return',
            buckets=_RETRY_AFTER_BUCKETS_S,
            registry=self.registry,
        )
        self.digest_s = Histogram(
            'dahliaarch_digest_seconds',
            'Time to summarize the backlog for the instances',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.digest_bytes = Gauge(
            'dahliaarch_digest_bytes', 'Size of the last summary of the backlog', registry=self.registry
        )
        self.store_calls = Counter(
            'dahliaarch_store_calls',
            'Calls of the store',
            ['call', 'outcome'],
            registry=self.registry,
        )
        self.store_call_s = Histogram(
            'dahliaarch_store_call_seconds',
            'Time of a call of the store',
            ['call'],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.store_bytes = Counter(
            'dahliaarch_store_answer_bytes',
            'Bytes of answers of the store, whole or not',
            ['call'],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            'dahliaarch_peer_bytes',
            'Bytes of messages between instances',
            ['direction', 'message'],
            registry=self.registry,
        )
        self.orders = Counter(
            'dahliaarch_orders',
            'Orders to workers',
            ['order', 'outcome'],
            registry=self.registry,
        )
        self.start_turn_s = Histogram(
            'dahliaarch_start_turn_seconds',
            'Time that a start waited for its turn among those under way',
            ['queue'],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting_starts = Gauge(
            'dahliaarch_waiting_starts',
            'Starts that wait for their turn among those under way',
            ['queue'],
            registry=self.registry,
        )
        self.start_hold_s = Histogram(
            'dahliaarch_start_hold_seconds',
            'Time that a start was held until the store had its assignment',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.held_starts = Gauge(
            'dahliaarch_held_starts',
            'Starts that are held until the store has their assignments',
            registry=self.registry,
        )
        self.unconfirmed_runs = Gauge(
            'dahliaarch_unconfirmed_runs',
            'Runs whose start was ordered and that no worker has acknowledged or listed',
            registry=self.registry,
        )
        self.unconfirmed_run_s = Gauge(
            'dahliaarch_oldest_unconfirmed_run_seconds',
            'Time since the first of these starts was ordered',
            registry=self.registry,
        )
        self.run_ends = Counter('dahliaarch_run_ends', 'Ends of runs', ['kind'], registry=self.registry)
        self.runs_lost = Counter(
            'dahliaarch_runs_lost',
            'Runs that were lost with their workers',
            ['why'],
            registry=self.registry,
        )
        self.departure_moves = Counter(
            'dahliaarch_departure_moves',
            'Stops of runs or gangs because a worker leaves before they can end',
            ['saved', 'timing'],
            registry=self.registry,
        )
        self.departure_core_s = Counter(
            'dahliaarch_departure_core_seconds',
            'Work of these runs that is done again, and work without a use that earlier stops spared',
            ['kind'],
            registry=self.registry,
        )
        self.decide_s = Histogram(
            'dahliaarch_decide_seconds',
            'Time of one pass of decisions',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.full_collection_s = Histogram(
            'dahliaarch_full_collection_seconds',
            'Time of a full garbage collection of the owner, which stops all else',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.is_owner = Gauge('dahliaarch_is_owner', 'Whether this instance owns the pool', registry=self.registry)
        self.configuration = Gauge(
            'dahliaarch_configuration_version',
            'Version of the configuration in force',
            registry=self.registry,
        )
        self.waiting_steps = Gauge(
            'dahliaarch_waiting_steps',
            'Ready steps of jobs that have nothing running, by what keeps them from being started',
            ['reason'],
            registry=self.registry,
        )
        self.evacuated_domains = Gauge(
            'dahliaarch_evacuated_domains',
            'Failure domains in which nothing is started because operators evacuate them',
            registry=self.registry,
        )
        self.evacuated_runs = Gauge(
            'dahliaarch_evacuated_runs',
            'Runs in these failure domains, which continue to their ends',
            registry=self.registry,
        )
        self.account_overuse = Gauge(
            'dahliaarch_account_overuse',
            'Usage of the pool by an account over its share, for the accounts that are most over theirs',
            ['account'],
            registry=self.registry,
        )
        self.slow_workers = Gauge(
            'dahliaarch_slow_workers',
            'Workers on which tasks take longer than on healthy ones',
            registry=self.registry,
        )
        self.active_jobs = Gauge('dahliaarch_active_jobs', 'Jobs that have not ended', registry=self.registry)

    def observe_store_call(self, call: str, outcome: str, took_s: float, answer_bytes: int) -> None:
        """Record outcome, duration and answer size of a call to the store."""
        self.store_calls.labels(call, outcome).inc()
        self.store_bytes.labels(call).inc(answer_bytes)
        self.store_call_s.labels(call).observe(took_s)

    def observe_peer_message(self, direction: str, message: str, size_bytes: int) -> None:
        """Record the size of a message to or from another instance."""
        self.peer_bytes.labels(direction, message).inc(size_bytes)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
