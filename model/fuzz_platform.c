#include <glib.h>
#include <primroselead/inventory.h>
#include <primroselead/platform.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A route that was installed is found by its own host and prefix. Hosts are
 * compared without a port, and paths without a query, so a route whose host has
 * a port, or whose prefix has a query, matches nothing. */
static void expect_route(const struct steer_view *v,
			 const struct steer_route *r)
{
	if (strchr(r->host, ':') || strchr(r->prefix, '?'))
		return;
	if (!steer_find_route(v, r->host, r->prefix))
		abort();
}

/* A workspace is found by its id, and each key leads to one workspace or to
 * none. */
static void expect_workspaces(const struct steer_view *v)
{
	for (int i = 0; i < v->nworkspace; i++) {
		const struct steer_workspace *w = &v->workspace[i];

		if (!w->name[0] || strlen(w->name) >= FLEET_WORKSPACE_MAX ||
		    strpbrk(w->name, "\r\n") || w->rate_milli < 0 ||
		    w->burst_milli < 0 || w->priority < -1 ||
		    !steer_find_workspace_by_id(v, w->id))
			abort();
	}
	for (int i = 0; i < v->nkey; i++) {
		int workspace = v->key[i].workspace;
		const struct steer_workspace *w =
			steer_find_workspace(v, &v->key[i].digest);

		if (w ? w != &v->workspace[workspace] : workspace != STEER_NONE)
			abort();
	}
	if (!v->has_workspaces && (v->nworkspace || v->nkey))
		abort();
}

/* Installs any manifest that the parser accepts, with one upstream, and looks
 * its routes up in the view that results. */
static void check_view(struct fleet_manifest *m,
		       const struct fleet_upstream *upstream)
{
	struct steer_vm vm = {.id = 1, .address = "127.0.0.1:1"};
	struct config_builder b;
	struct inventory inv;
	struct steer_view *v;

	config_builder_init(&b);
	inventory_init(&inv);
	inventory_set_domain_region(&inv, "norte-a", "norte");
	vm.region = config_region_index(&b, "norte");
	vm.domain = config_domain_index(&b, "norte-a");
	inv.list_complete = 1;
	if (inventory_install_manifest(&inv, m, NULL))
		goto end;
	inventory_update_upstream(&inv, upstream, 1000, NULL);
	v = inventory_build_view(&inv, &b, &vm, 1, 1, 1000);
	if (v) {
		for (int i = 0; i < v->nroute; i++)
			expect_route(v, &v->route[i]);
		expect_workspaces(v);
		config_view_release(v);
	}
end:
	inventory_finish(&inv);
	config_builder_finish(&b);
}

static void fuzz_manifest(const char *text)
{
	struct fleet_upstream upstream = {.instance = "i",
					  .service = "s",
					  .domain = "norte-a",
					  .address = "127.0.0.1:2",
					  .slots = 1,
					  .started_ms = 1};
	struct fleet_manifest m;
	struct prl_error err = {0};

	if (platform_manifest_parse(text, &m, &err)) {
		if (!err.code)
			abort();
		return;
	}
	check_view(&m, &upstream);
}

static void fuzz_upstream(const char *text)
{
	struct fleet_manifest m = {.version = 1};
	struct fleet_upstream u;

	if (platform_upstream_parse("i", text, &u, NULL))
		return;
	if (u.slots < 1 || !u.address[0])
		abort();
	m.service = calloc(1, sizeof(*m.service));
	if (!m.service)
		abort();
	m.nservice = 1;
	m.service[0].name = strdup(u.service);
	check_view(&m, &u);
}

static void fuzz_vm(const char *text)
{
	struct fleet_vm vm;
	char *formatted;

	if (platform_vm_parse("v", text, &vm, NULL))
		return;
	formatted = platform_vm_format(&vm);
	if (!formatted)
		abort();
	free(formatted);
}

static void fuzz_page(const char *text, size_t size,
		      enum platform_response_type type)
{
	struct platform_page page;

	if (!platform_page_parse(text, size, type, &page, NULL))
		platform_page_finish(&page);
}

static void fuzz_response(char *text)
{
	struct fleet_response_meta meta;
	char *rest = text;
	char *line;

	platform_response_meta_init(&meta);
	while ((line = strsep(&rest, "\n")))
		platform_response_meta_parse_header(line, &meta);
	if (meta.running >= 0 && meta.slots < 1)
		abort();
}

/* The parsers of what the platform's store and the upstreams send accept or
 * reject any text. The first byte chooses the parser. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fleet_bounds bounds;
	char *text;

	if (!size)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % 8) {
	case 0:
	case 1:
		fuzz_manifest(text);
		break;
	case 2:
		fuzz_upstream(text);
		break;
	case 3:
		fuzz_vm(text);
		break;
	case 4:
		fuzz_page(text, size - 1, PLATFORM_RESPONSE_LIST);
		break;
	case 5:
		fuzz_page(text, size - 1, PLATFORM_RESPONSE_EVENTS);
		break;
	case 6:
		fuzz_response(text);
		break;
	case 7:
		fleet_bounds_init(&bounds);
		platform_bound_parse(text, text, &bounds);
		fuzz_page(text, size - 1, PLATFORM_RESPONSE_OBJECT);
		break;
	}
	g_free(text);
	return 0;
}
