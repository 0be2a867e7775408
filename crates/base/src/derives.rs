//! Macros that apply the sets of derives that the workspace uses most.

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq` for the items.
#[macro_export]
macro_rules! derive_value {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, Eq)] $item)*
    };
}

/// Derives `Debug`, `Clone`, `Copy`, the comparisons and `Hash`, for small values that serve as map
/// keys.
#[macro_export]
macro_rules! derive_copy {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)] $item)*
    };
}
