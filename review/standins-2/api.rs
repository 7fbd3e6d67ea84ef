//! The platform's API for promotions.

use std::sync::{Arc, Mutex};

use crate::http::Request;
use crate::json;
use crate::member::Group;

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub member: String,
    pub holder: String,
    pub generation: u64,
}

#[derive(Clone)]
pub struct Api {
    pub group: Group,
    pub orders: Arc<Mutex<Vec<Order>>>,
}

impl Api {
    pub fn new(group: Group) -> Self {
        Self {
            group,
            orders: Arc::default(),
        }
    }

    pub fn handle(&self, request: Request) -> (u16, String) {
        if request.path != "/promote" {
            return (404, "{}".to_owned());
        }
        let body = json::parse(&request.body).unwrap_or(json::Value::Null);
        let member = body.get("id").text().unwrap_or_default().to_owned();
        let known = body.get("backend").text() == Some(&self.group.name);
        let status = match known && self.group.order_promotion(&member) {
            true => 200,
            false => 409,
        };
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let order = Order {
            member,
            holder: header("x-duty-holder"),
            generation: header("x-fencing-token").parse().unwrap_or(0),
        };
        self.group.note(format!(
            "promote {} from {}: holder {}, generation {}, answered {status}",
            order.member, request.from, order.holder, order.generation
        ));
        self.orders.lock().unwrap().push(order);
        (status, "{}".to_owned())
    }
}
