mod failover;
mod grant;
mod membership;
mod shard;
