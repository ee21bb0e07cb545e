mod failover;
mod membership;
mod shard_lease;
mod worker_lease;
