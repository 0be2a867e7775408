//! Log lines with the number and name of an event from the event catalogue.

/// Writes a structured log line with the number and name of a [`base::EventCode`] and the given
/// fields, at level info or, with `warn` as first argument, at level warn.
macro_rules! log_event {
    (warn, $code:ident $(, $($field:tt)*)?) => {
        tracing::warn!(
            event = base::EventCode::$code.number(),
            name = base::EventCode::$code.name(),
            $($($field)*)?
        )
    };
    ($code:ident $(, $($field:tt)*)?) => {
        tracing::info!(
            event = base::EventCode::$code.number(),
            name = base::EventCode::$code.name(),
            $($($field)*)?
        )
    };
}
pub(crate) use log_event;
