//! Typed reading of TOML tables that records every problem and goes on.
//!
//! A faulty value yields the default of its type. The caller discards the result when any problem
//! was recorded, so such a value never leaves the crate.

use std::{cell::RefCell, fmt::Display, ops::RangeInclusive, str::FromStr};

use base::{KeyDigest, Span};
use toml::{
    Spanned,
    de::{DeFloat, DeInteger, DeTable, DeValue},
};

use crate::{duration, problem::ProblemList};

const KEY_RULE: &str = "64 hexadecimal digits, the SHA-256 of a key";

/// Stands in problems for a value that may be a key.
const HIDDEN: &str = "(not shown)";

/// One table of a document. Keys that were never asked for are unknown.
#[derive(Debug)]
pub(crate) struct Section<'d> {
    list: &'d ProblemList<'d>,
    table: &'d DeTable<'d>,
    path: String,
    start: usize,
    known: RefCell<Vec<&'static str>>,
}

type Found<'d> = &'d Spanned<DeValue<'d>>;

impl<'d> Section<'d> {
    pub(crate) const fn root(list: &'d ProblemList<'d>, table: &'d DeTable<'d>) -> Self {
        Self { list, table, path: String::new(), start: 0, known: RefCell::new(Vec::new()) }
    }

    /// Reads a required name: lower-case letters, digits and hyphens.
    pub(crate) fn name(&self, key: &'static str) -> String {
        self.parsed(key, "lower-case letters, digits and hyphens, at most 63", |text| {
            is_name(text).then(|| String::from(text))
        })
    }

    /// Reads a required name that must differ from the ones in `taken`, and adds it to them.
    pub(crate) fn new_name(&self, key: &'static str, taken: &mut Vec<String>) -> String {
        let name = self.name(key);
        if !name.is_empty() && taken.contains(&name) {
            self.refuse(key, "a name that no other entry of this list has");
        }
        taken.push(name.clone());
        name
    }

    /// Reads a required name that must be one of `names`.
    pub(crate) fn reference(&self, key: &'static str, names: &[String]) -> String {
        self.parsed(key, &one_of(names), |text| {
            names.iter().any(|name| name == text).then(|| String::from(text))
        })
    }

    /// Reads a name that must be one of `names` when it is given.
    pub(crate) fn optional_reference(&self, key: &'static str, names: &[String]) -> Option<String> {
        self.has(key).then(|| self.reference(key, names))
    }

    /// Reads a required text that `parse` turns into a value.
    pub(crate) fn parsed<T: Default>(
        &self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        let Some(found) = self.required(key, allowed) else {
            return T::default();
        };
        found.get_ref().as_str().and_then(parse).unwrap_or_else(|| {
            self.refuse(key, allowed);
            T::default()
        })
    }

    /// Reads a required text in the notation of `T`, such as an address.
    pub(crate) fn required_as<T: FromStr>(&self, key: &'static str, allowed: &str) -> Option<T> {
        self.parsed(key, allowed, |text| text.parse().ok().map(Some))
    }

    /// Reads a required digest of a key.
    pub(crate) fn digest(&self, key: &'static str) -> Option<KeyDigest> {
        let found = self.required(key, KEY_RULE)?;
        self.parse_digest(found, &self.path_of(key))
    }

    /// Reads a list of digests of keys. A missing key is an empty list.
    pub(crate) fn digests(&self, key: &'static str) -> Vec<KeyDigest> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            let allowed = format!("a list, each item {KEY_RULE}");
            self.list.add(found.span().start, &self.path_of(key), HIDDEN, allowed);
            return Vec::new();
        };
        let items = array.iter().enumerate();
        let digests = items.filter_map(|(index, item)| {
            self.parse_digest(item, &format!("{}[{index}]", self.path_of(key)))
        });
        digests.collect()
    }

    /// A value that is no digest is not quoted, since it may be the key itself.
    fn parse_digest(&self, found: Found<'d>, path: &str) -> Option<KeyDigest> {
        let digest = found.get_ref().as_str().and_then(|text| KeyDigest::parse(text).ok());
        if digest.is_none() {
            self.list.add(found.span().start, path, HIDDEN, KEY_RULE);
        }
        digest
    }

    /// Reads a list of texts. A missing key is an empty list.
    pub(crate) fn list_of<T>(
        &self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            self.refuse(key, format!("a list, each item {allowed}"));
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in array.iter().enumerate() {
            match item.get_ref().as_str().and_then(&parse) {
                Some(value) => values.push(value),
                None => {
                    let path = format!("{}[{index}]", self.path_of(key));
                    self.list.add_value(&item.span(), &path, allowed);
                }
            }
        }
        values
    }

    /// Reads a required integer within `range`.
    pub(crate) fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let allowed = format!("an integer from {} to {}", range.start(), range.end());
        let Some(found) = self.required(key, &allowed) else {
            return 0;
        };
        let number = found.get_ref().as_integer().and_then(|integer| {
            u64::from_str_radix(integer.as_str(), integer.radix())
                .ok()
                .filter(|number| range.contains(number))
        });
        number.unwrap_or_else(|| {
            self.refuse(key, allowed);
            0
        })
    }

    /// Reads an integer within `range`, or `default` when the key is missing.
    pub(crate) fn integer_or(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        if self.has(key) { self.integer(key, range) } else { default }
    }

    /// Reads an integer within `range` that fits 32 bits.
    pub(crate) fn small_integer(&self, key: &'static str, range: RangeInclusive<u32>) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        u32::try_from(self.integer(key, range)).unwrap_or_default()
    }

    /// Reads a number with a fraction within `range`, or `default` when the key is missing.
    pub(crate) fn number_or(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(found) = self.optional(key) else {
            return default;
        };
        let value = found.get_ref();
        let text = value.as_float().map(DeFloat::as_str);
        let text = text.or_else(|| value.as_integer().map(DeInteger::as_str));
        let number = text.and_then(|text| text.parse::<f64>().ok());
        number.filter(|number| range.contains(number)).unwrap_or_else(|| {
            self.refuse(key, format!("a number from {} to {}", range.start(), range.end()));
            default
        })
    }

    /// Reads `true` or `false`, or `default` when the key is missing.
    pub(crate) fn flag_or(&self, key: &'static str, default: bool) -> bool {
        let Some(found) = self.optional(key) else {
            return default;
        };
        found.get_ref().as_bool().unwrap_or_else(|| {
            self.refuse(key, "true or false");
            default
        })
    }

    /// Reads a required length of time within `range`.
    pub(crate) fn duration(&self, key: &'static str, range: RangeInclusive<Span>) -> Span {
        let allowed = format!(
            "a length of time from \"{}\" to \"{}\" with one of the units us, ms, s, m, h",
            duration::render(*range.start()),
            duration::render(*range.end()),
        );
        self.parsed(key, &allowed, |text| {
            duration::parse(text).filter(|span| range.contains(span)).map(Length)
        })
        .0
    }

    /// Reads a length of time within `range`, or `default` when the key is missing.
    pub(crate) fn duration_or(
        &self,
        key: &'static str,
        range: RangeInclusive<Span>,
        default: Span,
    ) -> Span {
        if self.has(key) { self.duration(key, range) } else { default }
    }

    /// Reads a required text that must be one of the names in `choices`.
    pub(crate) fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> T {
        let names = choices.iter().map(|(name, _)| String::from(*name)).collect::<Vec<_>>();
        let index = self.parsed(key, &one_of(&names), |text| {
            choices.iter().position(|(name, _)| *name == text)
        });
        choices[index].1
    }

    /// Reads a text that must be one of the names in `choices`, or `default` when it is missing.
    pub(crate) fn choice_or<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        if self.has(key) { self.choice(key, choices) } else { default }
    }

    /// Reads a table with `read`, or an empty one when the key is missing.
    pub(crate) fn table<T>(&self, key: &'static str, read: impl FnOnce(&Section<'_>) -> T) -> T {
        let empty = DeTable::new();
        let mut table = &empty;
        let mut start = self.start;
        if let Some(found) = self.optional(key) {
            start = found.span().start;
            match found.get_ref().as_table() {
                Some(inner) => table = inner,
                None => self.refuse(key, "a table"),
            }
        }
        let section = Section {
            list: self.list,
            table,
            path: self.path_of(key),
            start,
            known: RefCell::default(),
        };
        let value = read(&section);
        section.finish();
        value
    }

    /// Reads each table of a list with `read`. A missing key is an empty list.
    pub(crate) fn tables<T>(
        &self,
        key: &'static str,
        mut read: impl FnMut(&Section<'_>) -> T,
    ) -> Vec<T> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            self.refuse(key, format!("a list of tables, written as [[{}]]", self.path_of(key)));
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            let Some(table) = item.get_ref().as_table() else {
                self.list.add_value(&item.span(), &path, "a table");
                continue;
            };
            let start = item.span().start;
            let list = self.list;
            let section = Section { list, table, path, start, known: RefCell::default() };
            values.push(read(&section));
            section.finish();
        }
        values
    }

    /// Records a problem of a key that is present, or of the section when it is missing.
    pub(crate) fn refuse(&self, key: &'static str, allowed: impl Into<String>) {
        match self.table.get(key) {
            Some(found) => self.list.add_value(&found.span(), &self.path_of(key), allowed),
            None => self.list.add(self.start, &self.path_of(key), "", allowed),
        }
    }

    /// Tells whether the key is present.
    pub(crate) fn has(&self, key: &'static str) -> bool {
        self.optional(key).is_some()
    }

    /// Records every key that no reader asked for.
    pub(crate) fn finish(&self) {
        let known = self.known.borrow();
        for (key, _) in self.table {
            if known.iter().any(|name| *name == key.get_ref().as_ref()) {
                continue;
            }
            let allowed = format!("one of the keys {}", known.join(", "));
            let path = self.path_of(key.get_ref());
            self.list.add(key.span().start, &path, "(unknown key)", allowed);
        }
    }

    fn required(&self, key: &'static str, allowed: &str) -> Option<Found<'d>> {
        let found = self.optional(key);
        if found.is_none() {
            let allowed = format!("{allowed}; the key is required");
            self.list.add(self.start, &self.path_of(key), "", allowed);
        }
        found
    }

    fn optional(&self, key: &'static str) -> Option<Found<'d>> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&key) {
            known.push(key);
        }
        self.table.get(key)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { String::from(key) } else { format!("{}.{key}", self.path) }
    }
}

/// A span whose default is zero.
struct Length(Span);

impl Default for Length {
    fn default() -> Self {
        Self(Span::ZERO)
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= 63 && text.bytes().all(allowed)
}

fn one_of<T: Display>(names: &[T]) -> String {
    if names.is_empty() {
        return String::from("nothing, since the document lists no such entry");
    }
    let names = names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>();
    format!("one of {}", names.join(", "))
}
