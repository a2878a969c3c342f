// roarr looks at this when it is first imported, and without it drops every message before any hook sees it.
process.env.ROARR_LOG ??= 'true'
