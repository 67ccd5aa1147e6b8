//! Collects the fields of a line into a JSON object.

use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde_json::{Map, Number};

/// A visitor that collects the fields of a line, without those that have no value.
#[derive(Default)]
pub(crate) struct Fields {
    pub(crate) map: Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut json = JsonValue(serde_json::Value::Null);
        value.visit(&mut json)?;
        if !json.0.is_null() {
            self.map.insert(key.as_str().to_owned(), json.0);
        }
        Ok(())
    }
}

/// A visitor that converts a value to JSON; values without a JSON type become
/// strings.
struct JsonValue(serde_json::Value);

impl VisitValue<'_> for JsonValue {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = Number::from_f64(value).map_or_else(|| value.to_string().into(), Into::into);
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}
