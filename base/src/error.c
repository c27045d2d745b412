#include <primroselead/error.h>
#include <stdarg.h>
#include <stdio.h>

enum prl_code prl_error_set(struct prl_error *err, enum prl_code code,
			    const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return code;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return code;
}

const char *prl_code_name(enum prl_code code)
{
	if ((int)code < 0 || (int)code >= prl_codes_count)
		return "UNKNOWN";
	return prl_codes[code].name;
}

int prl_code_exit_status(enum prl_code code)
{
	if ((int)code < 0 || (int)code >= prl_codes_count)
		return 1;
	return prl_codes[code].exit_status;
}
