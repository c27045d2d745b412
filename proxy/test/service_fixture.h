#ifndef PROXY_TEST_SERVICE_FIXTURE_H
#define PROXY_TEST_SERVICE_FIXTURE_H

/*
 * A proxy with one traffic thread in the test's own process, whose view is
 * built from a service file: the service "h" with one upstream at the scripted
 * server, whose paths /once/ run at most once by POST. Each claim is granted at
 * once, unless service_answer_claims says otherwise.
 */

/** Starts the proxy with its upstream at a port. Returns the port that it
 * listens on. */
int service_start(int server_port);

/** Whether the claim of an idempotency key was released as not run. */
int service_claim_released(const char *key);

/** Answers all further claims so; any number. */
void service_answer_claims(int answer);

/** Takes the credit for retries away; requests that are served earn it again.
 */
void service_spend_retries(void);

void service_stop(void);

#endif
