//! Numbered log events.

/// Writes a structured log line with the number and name of an event.
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
