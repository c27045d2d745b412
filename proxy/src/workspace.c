#include "workspace.h"
#include "relay.h"
#include <primroselead/hash.h>
#include <primroselead/platform.h>
#include <string.h>
#include <strings.h>

/* Values of the key header. */
struct key_values {
	int n;
	const char *last;
	size_t last_len;
};

static enum MHD_Result collect_key(void *ctx, enum MHD_ValueKind kind,
				   const char *name, size_t name_len,
				   const char *value, size_t value_len)
{
	struct key_values *keys = ctx;

	(void)kind;
	(void)name_len;
	if (!platform_is_key_header(name))
		return MHD_YES;
	keys->n++;
	keys->last = value;
	keys->last_len = value_len;
	return MHD_YES;
}

static const struct steer_workspace *find_by_key(const struct proxy_request *r)
{
	struct key_values keys = {0};
	struct prl_hash128 digest;

	MHD_get_connection_values_n(r->conn, MHD_HEADER_KIND, collect_key,
				    &keys);
	if (keys.n != 1 || !keys.last || !keys.last_len ||
	    keys.last_len >= FLEET_KEY_MAX)
		return NULL;
	digest = prl_digest(keys.last, keys.last_len);
	return steer_find_workspace(r->view, &digest);
}

static void set_name(struct proxy_request *r, const char *name)
{
	r->workspace_id = prl_hash_string(name);
	g_strlcpy(r->workspace_name, name, sizeof(r->workspace_name));
}

static int reject(struct proxy_request *r, const char *cause)
{
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
	return 0;
}

/* Both the route's home regions and the workspace's bind. */
static int restrict_regions(struct proxy_request *r,
			    const struct steer_workspace *w)
{
	uint32_t mask = r->region_mask ? r->region_mask : UINT32_MAX;

	if (w->is_homeless)
		return reject(r, "none of the workspace's home regions is "
				 "known");
	if (!w->region_mask)
		return 1;
	r->region_mask = mask & w->region_mask;
	return r->region_mask ||
	       reject(r, "the route and the workspace have no home region in "
			 "common");
}

static int apply(struct proxy_request *r, const struct steer_workspace *w)
{
	set_name(r, w->name);
	if (w->priority >= 0)
		r->policy.priority = w->priority;
	return restrict_regions(r, w);
}

static int accept_key(struct proxy_request *r)
{
	const struct steer_workspace *w = find_by_key(r);

	if (w)
		return apply(r, w);
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_UNAUTHORIZED, 1);
	request_fail(r, MHD_HTTP_UNAUTHORIZED,
		     "the request needs one valid key");
	return 0;
}

/* Any status but 503 makes the other VM try the next one, which may have
 * another version of the manifest. */
static int accept_name(struct proxy_request *r, const char *name)
{
	const struct steer_workspace *w =
		steer_find_workspace_by_id(r->view, prl_hash_string(name));

	if (w && !strcmp(w->name, name))
		return apply(r, w);
	request_fail(r, MHD_HTTP_NOT_FOUND, "the workspace is not known here");
	return 0;
}

int workspace_accept(struct proxy_request *r, const struct steer_route *route)
{
	const char *name = r->relayed ? relay_workspace(r) : NULL;

	r->hides_key = r->view->has_workspaces || name;
	if (!r->view->has_workspaces) {
		if (name)
			set_name(r, name);
		return 1;
	}
	if (route->is_public)
		return 1;
	return name ? accept_name(r, name) : accept_key(r);
}

int workspace_is_header(const struct proxy_request *r, const char *name)
{
	if (!r->hides_key && !r->view->has_workspaces)
		return 0;
	return platform_is_key_header(name) ||
	       !strcasecmp(name, platform_workspace_header());
}

void workspace_add_header(struct proxy_request *r)
{
	char line[PLATFORM_WORKSPACE_LINE_MAX];

	if (!r->workspace_name[0])
		return;
	platform_workspace_header_format(line, sizeof(line), r->workspace_name);
	header_list_append(&r->request_headers, line);
}
