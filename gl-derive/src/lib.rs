//! Attribute macros that add one of the workspace's common sets of derives to a type.
//!
//! ```
//! #[gl_derive::domain]
//! struct Size {
//!     cores: u32,
//! }
//!
//! let size = Size { cores: 4 };
//! assert_eq!(size.clone(), size);
//! ```
#![forbid(unsafe_code)]

use proc_macro::TokenStream;

const DOMAIN: &str = "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]\
    #[serde(rename_all = \"kebab-case\")]";
const ID: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]\
    #[serde(transparent)]";
const UNIT: &str = "#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]\
    #[serde(transparent)]";
const SETTINGS: &str = "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]\
    #[serde(default, deny_unknown_fields, rename_all = \"kebab-case\")]";
const TAG: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]\
    #[serde(rename_all = \"kebab-case\")]";

fn with_derives(set: &str, item: TokenStream) -> TokenStream {
    let derives = set.parse::<TokenStream>();
    let mut out = derives.unwrap_or_default();
    out.extend(item);
    out
}

/// Marks a domain type, which can be cloned, compared, debug-printed, and serialised with names in
/// kebab case.
#[proc_macro_attribute]
pub fn domain(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(DOMAIN, item)
}

/// Marks a textual identity, which can be ordered, hashed, and serialised as its inner value.
#[proc_macro_attribute]
pub fn id(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(ID, item)
}

/// Marks a numeric newtype, which can be copied, ordered, hashed, and serialised as its inner
/// number.
#[proc_macro_attribute]
pub fn unit(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(UNIT, item)
}

/// Marks a settings struct; missing fields get their defaults, and unknown fields are rejected.
#[proc_macro_attribute]
pub fn settings(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(SETTINGS, item)
}

/// Marks an enum without data, which can be copied, ordered, hashed, and serialised as a name in
/// kebab case.
#[proc_macro_attribute]
pub fn tag(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(TAG, item)
}
