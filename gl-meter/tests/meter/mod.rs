mod burn;
mod metrics;
