#ifndef SYSTEM_WORKSPACES_H
#define SYSTEM_WORKSPACES_H

#include "isolated.h"

/*
 * Workspaces in the fixture of routes.h: "acme", with one key that stays and
 * one that a test names, and "birch". The routes /keyed/ and /keyed-once/ need
 * a key, /safe/ is public.
 */

#define KEY_OF_ACME "kept-key-of-acme-4kq"
#define KEY_OF_BIRCH "kept-key-of-birch-7wz"

/** Beginning of all keys, by which they are looked for. */
#define KEY_MARK "kept-key-of"

/** Writes the manifest to both stores, or to that of the other VMs only if
 * there is no isolated one. "key" is a further key of acme. */
void workspaces_put_manifest(int version, const char *key, int is_isolated);

/** Sends a request for a path with the given header lines, up to a null, to a
 * port. */
struct http_response workspaces_request(int port, const char *path,
					const char *const *lines);

/** As workspaces_request with a key to VM n; the body is the head that the
 * upstream got. */
struct http_response workspaces_request_with_key(int n, const char *key);

/** Fails the test unless the upstream got this workspace's name, once, and no
 * key. */
void workspaces_expect_name(const struct http_response *resp, const char *name);

/** Size of a request's digest as text, with its end. */
#define WORKSPACES_DIGEST_MAX 40

/** Copies the digest that the VMs logged for the last request that was sent.
 * Returns the number of VMs that logged it; -1 if they differ. */
int workspaces_read_digest(char out[WORKSPACES_DIGEST_MAX]);

/** Number of lines in the log files of all processes that have a text. */
int workspaces_count_log_lines(const char *text);

#endif
