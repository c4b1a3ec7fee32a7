//! What the burst is compared with: every box drawing from the origin, and a tree of whole copies.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_rt::Arbiter;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Serialize;

use super::spread::{self, Setting};
use crate::http::{self, ClientSetting, Server};
use crate::standin::link::Net;
use crate::standin::{any_port, box_address};
use crate::weight::Digest;

/// Children of a box in the tree.
const CHILDREN: usize = 2;

/// Pause before a box whose parent has nothing yet asks again.
const RETRY: Duration = Duration::from_millis(20);

/// A way to spread weights without the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Every box draws the model from the origin.
    OriginOnly,
    /// Whole copies go down a binary tree of boxes.
    Tree,
}

/// What came of a baseline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Boxes.
    pub boxes: usize,
    /// Seconds until the last box had a copy.
    pub seconds: f64,
    /// The same over the physical limit.
    pub time_ratio: f64,
    /// Copies drawn from the origin.
    pub origin_copies: f64,
}

/// Runs a baseline on links like the experiment's.
pub async fn run(setting: &Setting, kind: Kind) -> Result<Report, http::Error> {
    let fleet = spread::fleet_setting(setting);
    let net = Arc::new(Net::default());
    let origin_ip = std::net::IpAddr::from([127, 0, 0, 3]);
    net.add(origin_ip, "platform", fleet.origin_rate, setting.seed);
    let bytes = spread::model(setting.model_bytes, setting.seed);
    let expected = Digest::of(&bytes);
    let origin = http::bind(any_port(origin_ip))?;
    let mut sources = vec![origin.local_addr().map_or_else(|_| String::new(), url)];
    let arbiters: Vec<Arbiter> = (0..8).map(|_| Arbiter::new()).collect();
    serve(&arbiters[0], origin, &net, origin_ip, Some(bytes));
    let (done, finished) = mpsc::channel();
    let mut listeners = Vec::new();
    for index in 0..setting.boxes {
        let ip = box_address(index % setting.halls, index / setting.halls);
        net.add(ip, "hall", fleet.box_rate, setting.seed);
        let listener = http::bind(any_port(ip))?;
        sources.push(listener.local_addr().map_or_else(|_| String::new(), url));
        listeners.push((ip, listener));
    }
    let began = Instant::now();
    for (index, (ip, listener)) in listeners.into_iter().enumerate() {
        let source = match kind {
            Kind::OriginOnly => 0,
            // Box 0 draws from the origin, and box n from box (n - 1) / 2.
            Kind::Tree if index == 0 => 0,
            Kind::Tree => 1 + (index - 1) / CHILDREN,
        };
        let source = sources[source].clone();
        let (net, done) = (net.clone(), done.clone());
        let arbiter = &arbiters[index % arbiters.len()];
        arbiter.spawn_fn(move || {
            let held = Rc::new(RefCell::new(None));
            let server = serve_here(listener, &net, ip, held.clone());
            actix_rt::spawn(async move {
                let _server = server;
                let copy = draw(&source, ip, expected).await;
                held.replace(Some(copy));
                let _ = done.send(Instant::now());
                std::future::pending::<()>().await;
            });
        });
    }
    let mut last = began;
    let mut count = 0;
    while count < setting.boxes {
        while let Ok(at) = finished.try_recv() {
            last = last.max(at);
            count += 1;
        }
        actix_rt::time::sleep(RETRY).await;
    }
    for arbiter in &arbiters {
        arbiter.stop();
    }
    let seconds = (last - began).as_secs_f64();
    Ok(Report {
        boxes: setting.boxes,
        seconds,
        time_ratio: seconds * spread::BOX_COPIES / setting.window.as_secs_f64(),
        origin_copies: match kind {
            Kind::OriginOnly => setting.boxes as f64,
            Kind::Tree => 1.0,
        },
    })
}

fn url(address: std::net::SocketAddr) -> String {
    format!("http://{address}/")
}

fn serve(
    arbiter: &Arbiter,
    listener: std::net::TcpListener,
    net: &Arc<Net>,
    ip: std::net::IpAddr,
    held: Option<Bytes>,
) {
    let net = net.clone();
    arbiter.spawn_fn(move || {
        let server = serve_here(listener, &net, ip, Rc::new(RefCell::new(held)));
        actix_rt::spawn(async move {
            let _server = server;
            std::future::pending::<()>().await;
        });
    });
}

fn serve_here(
    listener: std::net::TcpListener,
    net: &Arc<Net>,
    ip: std::net::IpAddr,
    held: Rc<RefCell<Option<Bytes>>>,
) -> Option<Server> {
    let listener = http::adopt(listener).ok()?;
    Some(Server::start(listener, net.wrap(ip), move |_, _| {
        let copy = held.borrow().clone();
        async move {
            match copy {
                Some(copy) => http::body(StatusCode::OK, "application/octet-stream", copy),
                None => http::status(StatusCode::NOT_FOUND),
            }
        }
    }))
}

/// Draws a whole copy, again and again until it is right.
async fn draw(source: &str, own: std::net::IpAddr, expected: Digest) -> Bytes {
    let client = http::client(ClientSetting {
        local_address: Some(own),
        ..ClientSetting::default()
    });
    loop {
        if let Ok(mut response) = client.get(source).send().await
            && response.status().is_success()
        {
            let mut copy = Vec::new();
            while let Some(Ok(part)) = response.next().await {
                copy.extend_from_slice(&part);
            }
            if Digest::of(&copy) == expected {
                return copy.into();
            }
        }
        actix_rt::time::sleep(RETRY).await;
    }
}
