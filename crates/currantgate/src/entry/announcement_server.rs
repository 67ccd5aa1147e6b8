//! HTTP servers for announcements of upstreams and for metrics.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpResponse, HttpServer, web};
use currantgate_config::Incarnation;
use currantgate_membership::{AnnounceError, Announcement, Lease};
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::EntryError;

/// Largest accepted body of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Sender of requests to the task that owns the state machines.
type Sender = mpsc::Sender<AnnounceRequest>;

/// Number of requests that may be queued for the task that owns the state machines.
pub(crate) const ANNOUNCE_QUEUE_LEN: usize = 256;

/// A request of an upstream, passed from the HTTP server to the task that owns the
/// state machines.
#[derive(Debug)]
pub(crate) struct AnnounceRequest {
    pub(crate) service: Box<str>,
    pub(crate) name: Box<str>,
    pub(crate) action: AnnounceAction,
}

/// The action that an upstream requests.
#[derive(Debug)]
pub(crate) enum AnnounceAction {
    /// Register the upstream or renew its lease.
    Announce {
        announcement: Announcement,
        reply: oneshot::Sender<Result<Lease, AnnounceError>>,
    },
    /// Remove the upstream, whose flows have ended.
    Withdraw {
        incarnation: Incarnation,
        reply: oneshot::Sender<Result<(), AnnounceError>>,
    },
}

/// The query parameters of a withdrawal.
#[derive(Deserialize)]
struct WithdrawQuery {
    /// The incarnation to end.
    incarnation: Incarnation,
}

/// The response to an accepted announcement.
#[derive(Serialize)]
struct AcceptedResponse {
    /// Remaining time of the lease in milliseconds.
    lease_ms: u64,
}

/// The response to a rejected announcement or withdrawal.
#[derive(Serialize)]
struct RejectedResponse {
    /// The reason.
    error: String,
}

/// Starts the HTTP server for announcements.
pub(crate) fn serve_announcements(
    listener: TcpListener,
    tx: Sender,
) -> Result<ServerHandle, EntryError> {
    let build = move |listener| {
        HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(tx.clone()))
                .app_data(web::JsonConfig::default().limit(MAX_ANNOUNCEMENT_BYTES))
                .service(
                    web::resource("/v1/upstreams/{service}/{name}")
                        .route(web::put().to(put_upstream))
                        .route(web::delete().to(delete_upstream)),
                )
        })
        .workers(1)
        .disable_signals()
        .listen(listener)
        .map(HttpServer::run)
    };
    spawn_server(listener, build)
}

/// Starts the HTTP server for metrics.
pub(crate) fn serve_metrics(
    listener: TcpListener,
    registry: Arc<Registry>,
) -> Result<ServerHandle, EntryError> {
    let build = move |listener| {
        HttpServer::new(move || {
            App::new()
                .app_data(web::Data::from(Arc::clone(&registry)))
                .route("/metrics", web::get().to(get_metrics))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)
        .map(HttpServer::run)
    };
    spawn_server(listener, build)
}

/// Builds a server on `listener` and runs it on the current runtime.
fn spawn_server(
    listener: TcpListener,
    build: impl FnOnce(TcpListener) -> std::io::Result<Server>,
) -> Result<ServerHandle, EntryError> {
    let address = listener.local_addr();
    let server = build(listener).map_err(|source| EntryError::Serve {
        address: address.unwrap_or_else(|_| ([0, 0, 0, 0], 0).into()),
        source,
    })?;
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn put_upstream(
    path: web::Path<(String, String)>,
    body: web::Json<Announcement>,
    tx: web::Data<Sender>,
) -> HttpResponse {
    let (reply, rx) = oneshot::channel();
    let action = AnnounceAction::Announce {
        announcement: body.into_inner(),
        reply,
    };
    match request(path.into_inner(), action, &tx, rx).await {
        Some(Ok(lease)) => HttpResponse::Ok().json(accepted_response(lease)),
        Some(Err(e)) => reject(&e),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn delete_upstream(
    path: web::Path<(String, String)>,
    query: web::Query<WithdrawQuery>,
    tx: web::Data<Sender>,
) -> HttpResponse {
    let (reply, rx) = oneshot::channel();
    let action = AnnounceAction::Withdraw {
        incarnation: query.incarnation,
        reply,
    };
    match request(path.into_inner(), action, &tx, rx).await {
        Some(Ok(())) => HttpResponse::NoContent().finish(),
        Some(Err(e)) => reject(&e),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Sends a request to the task and returns its reply, or `None` if the queue is full or
/// the task has ended.
async fn request<T>(
    (service, name): (String, String),
    action: AnnounceAction,
    tx: &Sender,
    rx: oneshot::Receiver<T>,
) -> Option<T> {
    let request = AnnounceRequest {
        service: service.into(),
        name: name.into(),
        action,
    };
    tx.try_send(request).ok()?;
    rx.await.ok()
}

fn reject(e: &AnnounceError) -> HttpResponse {
    HttpResponse::build(status_code(e)).json(RejectedResponse {
        error: e.to_string(),
    })
}

fn accepted_response(lease: Lease) -> AcceptedResponse {
    let remaining = lease.deadline.saturating_duration_since(Instant::now());
    AcceptedResponse {
        lease_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

fn status_code(e: &AnnounceError) -> actix_web::http::StatusCode {
    use actix_web::http::StatusCode;
    match e {
        AnnounceError::UnknownService(_) | AnnounceError::UnknownUpstream(_) => {
            StatusCode::NOT_FOUND
        }
        AnnounceError::TooManyUpstreams(_) | AnnounceError::EntryLeaving => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        AnnounceError::OldIncarnation { .. }
        | AnnounceError::IncarnationEnded(_)
        | AnnounceError::AddressChanged(_)
        | AnnounceError::AddressInUse(_) => StatusCode::CONFLICT,
        AnnounceError::WrongDomain(_)
        | AnnounceError::BadAddress(_)
        | AnnounceError::BadName(_)
        | AnnounceError::OutOfRange(..) => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

async fn get_metrics(registry: web::Data<Registry>) -> HttpResponse {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
