mod burn;
mod jobs;
mod metrics;
