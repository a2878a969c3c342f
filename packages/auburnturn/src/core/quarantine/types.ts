/** How a call is handled: like any other, alone on its upstream, or not at all. */
export type Treatment =
  | { readonly kind: 'usual' }
  | { readonly kind: 'alone', readonly fingerprint: string }
  | { readonly kind: 'refused', readonly fingerprint: string }
