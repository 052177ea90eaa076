//! Paths for durable jobs: submit, status and cancel.

use http::Method;
use http::Request;
use http::Response;

use super::Api;
use super::Result;
use super::bearer_token;
use super::method_not_allowed;
use super::query_param;
use super::reply;
use crate::core::event::Call;
use crate::core::model::JobSpec;
use crate::shell::net::Body;
use crate::shell::net::RequestBody;

impl Api {
    /// Serves `/v1/jobs` and `/v1/jobs/{id}`.
    pub(super) async fn jobs(&self, id: &str, req: Request<RequestBody>) -> Result<Response<Body>> {
        let key = bearer_token(req.headers());
        let call = match (req.method().clone(), id) {
            (Method::POST, "") => {
                let queue = query_param(req.uri().query(), "queue").map(Box::from);
                let body = self.read_body(req).await?;
                let spec: JobSpec = serde_json::from_slice(&body)
                    .map_err(|err| reply::invalid(&err.to_string()))?;
                Call::Submit { key, queue, spec }
            }
            (_, "") => return Err(method_not_allowed(req.method())),
            (Method::GET, job) => Call::Status {
                key,
                job: job.into(),
            },
            (Method::DELETE, job) => Call::Cancel {
                key,
                job: job.into(),
            },
            (method, _) => return Err(method_not_allowed(&method)),
        };
        Ok(self.call(call).await)
    }
}
