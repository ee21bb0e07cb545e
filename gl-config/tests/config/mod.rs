mod files;
mod pages;
