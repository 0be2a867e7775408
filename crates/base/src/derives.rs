//! Macros that apply the workspace's common derive sets.

/// Derives the set for ordinary values: `Debug`, `Clone`, `PartialEq` and `Eq`.
#[macro_export]
macro_rules! derive_value {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq)] $item)*
    };
}

/// Derives the set for small copyable values that serve as map keys.
#[macro_export]
macro_rules! derive_copy {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)] $item)*
    };
}
